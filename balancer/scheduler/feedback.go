package scheduler

import (
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/features"
)

const (
	// minReuseTokens is the number of tokens that must be assumed to be cached for the time to the first event to show
	// whether they were.
	minReuseTokens = 500
	// slotTimeSmoothing is the weight of one request in the moving average of the time for which a slot is occupied;
	// minSlotTime and maxSlotTime bound the time of one request, in seconds.
	slotTimeSmoothing        = 0.05
	minSlotTime, maxSlotTime = 0.01, 120.0
)

// RequestSent records that a request was sent to its runner.
func (scheduler *Scheduler) RequestSent(now time.Time, request *QueuedRequest, decision Decision) {
	scheduler.indexer.Pool.Add(kvblock.BlockStored{
		Runner: decision.Runner.ID,
		Now:    now,
		Keys:   request.Keys,
		Tokens: request.PartTokens,
	})
}

// RequestRejected records that the runner rejected a request before executing it. It removes the prompt's blocks from
// the index, since the runner has not cached them, ejects the runner, and narrows this daemon's window.
func (scheduler *Scheduler) RequestRejected(now time.Time, request *QueuedRequest, decision Decision) {
	scheduler.indexer.Pool.Add(kvblock.BlockRemoved{Runner: decision.Runner.ID, Keys: request.Keys})
	scheduler.table.Eject(now, decision.Runner.ID, "puts requests back")
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if !scheduler.Disabled[features.ConcurrencyWindow] {
		scheduler.window.narrow(now)
	}
}

// FirstEventReceived records that the first event of a response arrived, took after the request was sent.
func (scheduler *Scheduler) FirstEventReceived(request *QueuedRequest, decision Decision, took time.Duration) {
	scheduler.recordFirstEvent(request, decision, took)
	// On a busy runner, the time to the first event does not show whether the prompt was cached.
	if decision.CachedTokens < minReuseTokens || decision.Runner.Load >= float64(decision.Runner.Slots)/2 {
		return
	}
	// A hit is a time below the midpoint between the predictions with and without the tokens cached.
	halfCached := float64(request.Requirements.PromptTokens) - float64(decision.CachedTokens)/2
	scheduler.indexer.Pool.Add(kvblock.ReuseObserved{
		Runner: decision.Runner.ID,
		Keys:   request.Keys,
		Hit:    took.Seconds() <= halfCached*scheduler.CostWeights().TokenSeconds,
	})
}

// recordFirstEvent updates the load table, the forecast and the cost weights; it ignores all but the first call for an
// attempt.
func (scheduler *Scheduler) recordFirstEvent(request *QueuedRequest, decision Decision, took time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if request.answered {
		return
	}
	request.answered = true
	scheduler.table.FirstEventReceived(decision.Runner.ID)
	scheduler.forecast.firstEvent(request, decision, took)
	scheduler.costWeights.TokenSeconds = scheduler.forecast.speeds.token
}

// RequestCompleted records the durations of a completed request: the time to the first event, with that many uncached
// prompt tokens, and the time for which the slot was occupied. A duration of 0 is unknown and ignored.
func (scheduler *Scheduler) RequestCompleted(uncached int, first, occupied time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if uncached > 0 && first > 0 {
		scheduler.forecast.learnSpeeds(uncached, 0, first)
		scheduler.costWeights.TokenSeconds = scheduler.forecast.speeds.token
	}
	if occupied > 0 {
		slotTime := min(max(occupied.Seconds(), minSlotTime), maxSlotTime)
		scheduler.costWeights.SlotSeconds += slotTimeSmoothing * (slotTime - scheduler.costWeights.SlotSeconds)
	}
}

// TokensReceived records the time in which that many tokens of a response arrived.
func (scheduler *Scheduler) TokensReceived(tokens int, took time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.generationPace.learn(tokens, took)
}

// MaxDuration returns the maximum expected duration of a request's response: its latency target plus the time to
// generate as many tokens as the response may have. It returns 0 while the generation speed is unknown.
func (scheduler *Scheduler) MaxDuration(request *QueuedRequest) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	generation, known := scheduler.generationPace.duration(request.Requirements.MaxResponseTokens)
	if !known {
		return 0
	}
	return request.Requirements.LatencyTarget + generation
}
