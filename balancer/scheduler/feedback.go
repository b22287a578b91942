package scheduler

import (
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/features"
)

const (
	// minReuseTokens is how many tokens must be taken to be cached for a first event to say anything of the cache.
	minReuseTokens = 500
	// slotTimeSmoothing is how far one request moves the learned time that a slot is occupied; minSlotTime and maxSlotTime
	// bound what one may count, in seconds.
	slotTimeSmoothing        = 0.05
	minSlotTime, maxSlotTime = 0.01, 120.0
)

// RequestSent records that a request went out to its runner.
func (scheduler *Scheduler) RequestSent(now time.Time, request *QueuedRequest, decision Decision) {
	scheduler.indexer.Pool.Add(kvblock.BlockStored{
		Runner: decision.Runner.ID,
		Now:    now,
		Keys:   request.Keys,
		Tokens: request.PartTokens,
	})
}

// RequestRejected records that the runner rejected a request before it executed it. The runner has not cached
// the prompt and is ejected for a moment, and this daemon's window becomes narrower.
func (scheduler *Scheduler) RequestRejected(now time.Time, request *QueuedRequest, decision Decision) {
	scheduler.indexer.Pool.Add(kvblock.BlockRemoved{Runner: decision.Runner.ID, Keys: request.Keys})
	scheduler.table.Eject(now, decision.Runner.ID, "puts requests back")
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if !scheduler.Without[features.ConcurrencyWindow] {
		scheduler.window.narrow(now)
	}
}

// FirstEventReceived records how long the first event of a response took after the request was sent.
func (scheduler *Scheduler) FirstEventReceived(request *QueuedRequest, decision Decision, took time.Duration) {
	scheduler.recordFirstEvent(request, decision, took)
	// Only on a runner that was not busy does the time of the first event say anything of its cache.
	if decision.CachedTokens < minReuseTokens || decision.Runner.Load >= float64(decision.Runner.Slots)/2 {
		return
	}
	// Half way between the time with the tokens cached and without.
	halfCached := float64(request.Requirements.PromptTokens) - float64(decision.CachedTokens)/2
	scheduler.indexer.Pool.Add(kvblock.ReuseObserved{
		Runner: decision.Runner.ID,
		Keys:   request.Keys,
		Hit:    took.Seconds() <= halfCached*scheduler.CostWeights().TokenSeconds,
	})
}

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

// RequestCompleted records how a request went: how long the first event took of so many tokens that were not
// cached, and how long the slot was occupied. A duration of 0 is not known.
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

// TokensReceived records how long so many tokens of a response took to come.
func (scheduler *Scheduler) TokensReceived(tokens int, took time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.generationPace.learn(tokens, took)
}

// MaxDuration is how long a request's response may take in all: its first event within its latency target, and as many
// tokens as it may have; 0: the pace of responses is not known.
func (scheduler *Scheduler) MaxDuration(request *QueuedRequest) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	generation, known := scheduler.generationPace.duration(request.Requirements.AnswerTokens)
	if !known {
		return 0
	}
	return request.Requirements.LatencyTarget + generation
}
