package scheduler

import (
	"time"

	"wardtray/balancer/load"
)

// minRetryAfter and maxRetryAfter bound when a client is asked to retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RetryAfter predicts when another try may find a slot: when the first ejection of a runner ends, and the queue is
// through by the learned time that a request occupies a slot.
func (scheduler *Scheduler) RetryAfter(now time.Time, _ *QueuedRequest) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	cycle := scheduler.schedulingContext(now)
	soonest := maxRetryAfter
	for index := range cycle.Candidates {
		candidate := &cycle.Candidates[index]
		if candidate.Reason != load.ReasonDraining {
			soonest = min(soonest, candidate.Until.Sub(now))
		}
	}
	turn := scheduler.queueTurn(scheduler.queue.length()+1, cycle.Slots)
	return min(maxRetryAfter, max(minRetryAfter, soonest)+turn)
}

// queueTurn predicts how long so many queued requests take to get a slot of so many.
func (scheduler *Scheduler) queueTurn(requests int, slots float64) time.Duration {
	return seconds(float64(requests) * scheduler.costWeights.SlotSeconds / max(1, slots))
}
