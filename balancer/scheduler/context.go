package scheduler

import (
	"time"

	"wardtray/balancer/load"
	"wardtray/config"
	"wardtray/features"
)

// Snapshot is the input of a scheduling cycle from outside the scheduler: the runners that the newest configuration
// assigns to the backend, the number of daemons that share them, and the backend's configuration.
type Snapshot struct {
	Runners []load.Runner
	Daemons int
	Backend config.Backend
}

// SnapshotFunc returns the snapshot at the time now.
type SnapshotFunc func(now time.Time) Snapshot

// SchedulingContext is the state that the decisions of one scheduling cycle are based on.
type SchedulingContext struct {
	Now         time.Time
	Candidates  []Candidate
	CostWeights CostWeights
	// Ahead is the number of queued requests with a higher priority than the one being decided.
	Ahead int
	// Slots is this daemon's share of all slots, Capacity its share of the slots and the runners' short queues.
	Slots, Capacity float64
	// HasCapacity reports whether some usable runner is not saturated and this daemon may have more requests in flight.
	HasCapacity bool
	// WaitCorrection multiplies the predicted queueing time of a new request. It exceeds 1 after queued requests of the
	// same route were rejected recently; 0 stands for 1.
	WaitCorrection float64
	// FreeRatio is the fraction of all slots that is free.
	FreeRatio float64
	// Short and Long are the forecasts for the runners preferred for short prompts and for long prompts.
	Short, Long PromptForecast
	// LongRunners is the set of the IDs of the runners preferred for long prompts.
	LongRunners map[string]bool
	// ShortRate is the rate, in prompts per second, at which short prompts are sent to each runner that is not in
	// LongRunners.
	ShortRate float64
	// CacheLifetime is the time for which a runner keeps an unused prompt part in its cache; 0 if unknown.
	CacheLifetime time.Duration
	// Daemons is the number of daemons that share the runners, at least 1.
	Daemons int
	// IgnorePrediction keeps requests queued for as long as they may wait, regardless of the predicted queueing time.
	IgnorePrediction bool
}

// PromptForecast is the forecast for a runner that receives prompts of one class.
type PromptForecast struct {
	// Wait is the average time, in seconds, for which other daemons' prompts delay a new one.
	Wait float64
	// Prefill is the prefill time, in seconds, assumed for each of these waiting prompts; see remainingPrefill.
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
		IgnorePrediction: scheduler.Disabled[features.EarlyRefusal],
	}
	slots, used, capacity := 0.0, 0.0, 0.0
	for _, runner := range readmitEjected(snapshot.Runners) {
		if limit := snapshot.Backend.ConnectionLimit; limit > 0 {
			// A runner resets connections beyond its limit, and all daemons share that limit.
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

// addForecast adds the traffic forecast to the context.
func (scheduler *Scheduler) addForecast(cycle *SchedulingContext, snapshot *Snapshot) {
	// An ejected runner stays reserved for the same class of prompts. If another one replaced it for that time, the
	// prefixes cached there would move as well.
	var remaining []load.Runner
	for index := range cycle.Candidates {
		if cycle.Candidates[index].Reason != load.ReasonDraining {
			remaining = append(remaining, cycle.Candidates[index].Runner)
		}
	}
	forecast := scheduler.forecast
	forecast.pruneBacklogs(snapshot.Runners)
	if !scheduler.Disabled[features.LongRunners] {
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

// hasUnsaturatedRunner reports whether some usable runner can take another request.
func (cycle *SchedulingContext) hasUnsaturatedRunner() bool {
	for index := range cycle.Candidates {
		if runner := &cycle.Candidates[index].Runner; runner.Usable && !saturated(runner) {
			return true
		}
	}
	return false
}

// countDispatched adds a request that was dispatched in this cycle to the load of its runner.
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

// seconds converts a number of seconds to a duration of at most an hour.
func seconds(value float64) time.Duration {
	const maxSeconds = 3600
	return time.Duration(min(value, maxSeconds) * float64(time.Second))
}
