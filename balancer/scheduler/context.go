package scheduler

import (
	"time"

	"wardtray/balancer/load"
	"wardtray/config"
	"wardtray/features"
)

// Snapshot is what a scheduler decides about: the runners that the newest configuration allows the backend, how many
// daemons share them, and what operators configured for the backend.
type Snapshot struct {
	Runners []load.Runner
	Daemons int
	Backend config.Backend
}

// SnapshotFunc returns the snapshot of a moment.
type SnapshotFunc func(now time.Time) Snapshot

// SchedulingContext is what decisions of one scheduling cycle are made from.
type SchedulingContext struct {
	Now         time.Time
	Candidates  []Candidate
	CostWeights CostWeights
	// Ahead is how many requests of higher priority are queued already.
	Ahead int
	// Slots is this daemon's share of all slots, Capacity the same with the runners' short queues counted in.
	Slots, Capacity float64
	// HasCapacity says that some usable runner is not saturated, and that this daemon may have more requests in flight.
	HasCapacity bool
	// WaitCorrection multiplies the predicted wait of a new request, where waits of its route were in vain lately; 0
	// stands for 1.
	WaitCorrection float64
	// FreeRatio is the free part of all slots.
	FreeRatio float64
	// Short and Long are forecasts for the runners where short prompts go first and where long ones do.
	Short, Long PromptForecast
	// LongRunners names the runners to which long prompts go first.
	LongRunners map[string]bool
	// ShortRate is how many short prompts a second are sent to each of the other runners.
	ShortRate float64
	// CacheLifetime is how long a runner keeps a part that nobody uses; 0: not known.
	CacheLifetime time.Duration
	// Daemons is how many share the runners, at least 1.
	Daemons int
	// IgnorePrediction keeps requests queued as long as they may wait, whatever is predicted.
	IgnorePrediction bool
}

// PromptForecast is a forecast for runners that prompts of one class are sent to.
type PromptForecast struct {
	// Wait is how long a runner usually reads other daemons' prompts first, in seconds.
	Wait float64
	// Prefill is how long it reads one waiting prompt, in seconds.
	Prefill float64
}

// schedulingContext returns the context of the scheduling cycle that begins now.
func (scheduler *Scheduler) schedulingContext(now time.Time) SchedulingContext {
	snapshot := scheduler.snapshot(now)
	daemons := max(1, snapshot.Daemons)
	cycle := SchedulingContext{
		Now:              now,
		CostWeights:      scheduler.enabledCostWeights(),
		Daemons:          daemons,
		IgnorePrediction: scheduler.Without[features.EarlyRejection],
	}
	slots, used, capacity := 0.0, 0.0, 0.0
	for _, runner := range readmitEjected(snapshot.Runners) {
		if limit := snapshot.Backend.ConnectionLimit; limit > 0 {
			// A runner resets connections beyond its limit, which all daemons share.
			runner.Limit = min(runner.Limit, max(1, limit/daemons))
		}
		cycle.Candidates = append(cycle.Candidates, Candidate{Runner: runner})
		if runner.Usable {
			slots += float64(runner.Slots)
			capacity += float64(runnerCapacity(&runner))
			cycle.HasCapacity = cycle.HasCapacity || !saturated(&runner)
			used += min(runner.LatestLoad, float64(runner.Slots))
		}
	}
	cycle.Slots, cycle.Capacity = slots/float64(daemons), capacity/float64(daemons)
	scheduler.slots = cycle.Slots
	if slots > 0 {
		cycle.FreeRatio = 1 - used/slots
	}
	scheduler.addForecast(&cycle, &snapshot)
	return cycle
}

// addForecast adds what is forecast of the traffic.
func (scheduler *Scheduler) addForecast(cycle *SchedulingContext, snapshot *Snapshot) {
	// A runner that is only ejected for a while keeps its side. If another took its place, the prefixes at home there
	// would move as well.
	var remaining []load.Runner
	for index := range cycle.Candidates {
		if cycle.Candidates[index].Reason != load.ReasonDraining {
			remaining = append(remaining, cycle.Candidates[index].Runner)
		}
	}
	forecast := scheduler.forecast
	forecast.forgetRemoved(snapshot.Runners)
	if !scheduler.Without[features.LongRunners] {
		cycle.LongRunners = longRunners(remaining, scheduler.longPrompts.reserve(forecast.longRatio()))
	}
	short := max(1, len(remaining)-len(cycle.LongRunners))
	long := max(1, len(cycle.LongRunners))
	cycle.Short = forecast.promptForecast(cycle.Now, &forecast.short, cycle.Daemons, short)
	cycle.Long = forecast.promptForecast(cycle.Now, &forecast.long, cycle.Daemons, long)
	if forecast.requests <= 0 {
		return
	}
	rate := forecast.rateAt(cycle.Now) * float64(cycle.Daemons)
	cycle.ShortRate = rate * forecast.short.count / forecast.requests / float64(short)
	tokensPerRunner := rate * forecast.tokens / forecast.requests / float64(max(1, len(remaining)))
	if memory := snapshot.Backend.Engine.MemoryTokens; tokensPerRunner > 0 && memory > 0 {
		cycle.CacheLifetime = seconds(cacheMemoryRatio * float64(memory) / tokensPerRunner)
	}
}

// hasUnsaturatedRunner reports whether some usable runner may have another request.
func (cycle *SchedulingContext) hasUnsaturatedRunner() bool {
	for index := range cycle.Candidates {
		if runner := &cycle.Candidates[index].Runner; runner.Usable && !saturated(runner) {
			return true
		}
	}
	return false
}

// countDispatched adds a request that was dispatched in this cycle to its runner.
func (cycle *SchedulingContext) countDispatched(runner string) {
	for index := range cycle.Candidates {
		candidate := &cycle.Candidates[index]
		if candidate.ID == runner {
			candidate.Load++
			candidate.LatestLoad++
			candidate.InFlight++
		}
	}
	cycle.HasCapacity = cycle.hasUnsaturatedRunner()
}

// seconds converts a number of seconds; more than an hour is cut off.
func seconds(value float64) time.Duration {
	const most = 3600
	return time.Duration(min(value, most) * float64(time.Second))
}
