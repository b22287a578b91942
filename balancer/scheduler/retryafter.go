package scheduler

import (
	"time"

	"wardtray/balancer/load"
)

// minRetryAfter and maxRetryAfter bound the time after which a client is asked to retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RetryAfter predicts the time after which another attempt may find a slot: the time until the first ejection of a
// runner ends, plus the time until the queued requests have got their slots.
func (scheduler *Scheduler) RetryAfter(now time.Time, _ *QueuedRequest) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	cycle := scheduler.schedulingContext(now)
	soonest := maxRetryAfter
	for index := range cycle.Candidates {
		candidate := &cycle.Candidates[index]
		if candidate.Reason != load.ReasonDraining {
			soonest = min(soonest, candidate.EjectedUntil.Sub(now))
		}
	}
	wait := scheduler.queueWait(scheduler.queue.length()+1, cycle.Slots)
	return min(maxRetryAfter, max(minRetryAfter, soonest)+wait)
}

// queueWait predicts the time until that many queued requests have got one of that many slots, from the learned time
// for which a request occupies a slot.
func (scheduler *Scheduler) queueWait(requests int, slots float64) time.Duration {
	return seconds(float64(requests) * scheduler.costWeights.SlotSeconds / max(1, slots))
}
