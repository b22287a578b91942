package scheduler

import (
	"math"
	"time"
)

const (
	// slowdownIncrease multiplies a runner's slowdown after a late first event, slowdownDecrease after an early one;
	// minSlowdown and maxSlowdown bound it.
	slowdownIncrease, slowdownDecrease = 1.12, 0.93
	minSlowdown, maxSlowdown           = 0.7, 8
	// slowdownDecay is the time constant of the exponential decay of a slowdown towards 1 while no first event arrives.
	slowdownDecay = 4 * time.Second
	// A first event is late if it takes longer than lateFactor times the prediction plus lateSeconds.
	lateFactor, lateSeconds = 1.3, 0.015
	// latenessCorrection is the fraction of a first event's lateness that is added to the prediction for the prompts
	// queued behind it.
	latenessCorrection = 0.7
)

// pendingRequest is a request dispatched to a runner for which no response event has arrived.
type pendingRequest struct {
	request *QueuedRequest
	// due is the predicted time of its first event; prefill is the prefill time of its own prompt in seconds.
	due     time.Time
	prefill float64
}

// runnerBacklog tracks this scheduler's own pending requests on one runner, and the speed of the runner.
type runnerBacklog struct {
	// freeAt is the predicted time at which the runner has prefilled all prompts that this scheduler sent to it.
	freeAt  time.Time
	pending []pendingRequest
	// slowdown is the ratio of the time to the runner's recent first events to the backend's average, at updatedAt.
	slowdown  float64
	updatedAt time.Time
}

// add records a dispatched request whose prompt takes prefill seconds and whose first event is predicted after wait
// seconds.
func (backlog *runnerBacklog) add(now time.Time, request *QueuedRequest, prefill, wait float64) {
	start := now
	if backlog.freeAt.After(start) && len(backlog.pending) > 0 {
		start = backlog.freeAt
	}
	backlog.freeAt = start.Add(seconds(prefill))
	pending := pendingRequest{request: request, due: now.Add(seconds(wait)), prefill: prefill}
	backlog.pending = append(backlog.pending, pending)
}

// take removes a pending request and returns it. It reports whether the request was pending.
func (backlog *runnerBacklog) take(request *QueuedRequest) (pending pendingRequest, found bool) {
	for index, pending := range backlog.pending {
		if pending.request == request {
			backlog.pending = append(backlog.pending[:index], backlog.pending[index+1:]...)
			return pending, true
		}
	}
	return pendingRequest{}, false
}

// firstEvent records that a request's first event arrived after took seconds, where predicted seconds were predicted.
func (backlog *runnerBacklog) firstEvent(now time.Time, request *QueuedRequest, took, predicted float64) {
	if pending, found := backlog.take(request); found {
		late := now.Sub(pending.due)
		backlog.freeAt = backlog.freeAt.Add(time.Duration(latenessCorrection * float64(late)))
	}
	backlog.slowdown = backlog.slowdownAt(now)
	backlog.updatedAt = now
	switch {
	case took > predicted*lateFactor+lateSeconds:
		backlog.slowdown *= slowdownIncrease
	case took < predicted:
		backlog.slowdown *= slowdownDecrease
	}
	backlog.slowdown = min(maxSlowdown, max(minSlowdown, backlog.slowdown))
}

// remove removes a request that ended without a first event, and subtracts its prefill time.
func (backlog *runnerBacklog) remove(request *QueuedRequest) {
	if pending, found := backlog.take(request); found {
		backlog.freeAt = backlog.freeAt.Add(-seconds(pending.prefill))
	}
}

// wait returns the predicted time, in seconds, until the runner has prefilled all pending prompts of this scheduler.
func (backlog *runnerBacklog) wait(now time.Time) float64 {
	if len(backlog.pending) == 0 {
		return 0
	}
	// A prompt without a first event is still being prefilled, even if the predicted time has passed.
	last := backlog.pending[len(backlog.pending)-1]
	return max(backlog.freeAt.Sub(now).Seconds(), last.prefill/2)
}

// slowdownAt returns the slowdown at the time now. It decays while no first event arrives, so that a slow runner is
// eventually tried again.
func (backlog *runnerBacklog) slowdownAt(now time.Time) float64 {
	faded := math.Exp(-float64(now.Sub(backlog.updatedAt)) / float64(slowdownDecay))
	return 1 + (backlog.slowdown-1)*faded
}
