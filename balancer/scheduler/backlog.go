package scheduler

import (
	"math"
	"time"
)

const (
	// slowdownIncrease and slowdownDecrease are the factors of a runner's slowdown after a late first event and after an
	// early one; minSlowdown and maxSlowdown bound it.
	slowdownIncrease, slowdownDecrease = 1.12, 0.93
	minSlowdown, maxSlowdown           = 0.7, 8
	// slowdownDecay is the time constant with which a slowdown fades when no first event comes.
	slowdownDecay = 4 * time.Second
	// A first event is late beyond lateFactor times the prediction and lateSeconds.
	lateFactor, lateSeconds = 1.3, 0.015
	// latenessCorrection is how far a first event's lateness moves the prediction for the prompts behind it.
	latenessCorrection = 0.7
)

// pendingRequest is one of our requests at a runner from which no event has come yet.
type pendingRequest struct {
	request *QueuedRequest
	// due is when its first event was predicted to come; prefill is its own reading time in seconds.
	due     time.Time
	prefill float64
}

// runnerBacklog is what a scheduler knows of one runner from its own requests.
type runnerBacklog struct {
	// freeAt is when the prompts that we sent are predicted to be read.
	freeAt  time.Time
	pending []pendingRequest
	// slowdown is how many times slower than the backend's average the runner's first events came lately, at updatedAt.
	slowdown  float64
	updatedAt time.Time
}

// add records a request that goes out, of so many seconds of reading, whose first event is predicted after wait
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

// take removes a pending request and returns it, if it is there.
func (backlog *runnerBacklog) take(request *QueuedRequest) (pending pendingRequest, found bool) {
	for index, pending := range backlog.pending {
		if pending.request == request {
			backlog.pending = append(backlog.pending[:index], backlog.pending[index+1:]...)
			return pending, true
		}
	}
	return pendingRequest{}, false
}

// firstEvent records that a request's first event came, and took so many seconds where so many were predicted.
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

// remove removes a request that ended without a first event, and its reading time.
func (backlog *runnerBacklog) remove(request *QueuedRequest) {
	if pending, found := backlog.take(request); found {
		backlog.freeAt = backlog.freeAt.Add(-seconds(pending.prefill))
	}
}

// wait is how many seconds the prompts that we sent still keep the runner.
func (backlog *runnerBacklog) wait(now time.Time) float64 {
	if len(backlog.pending) == 0 {
		return 0
	}
	// Whatever was predicted, prompts without an event are still being read.
	last := backlog.pending[len(backlog.pending)-1]
	return max(backlog.freeAt.Sub(now).Seconds(), last.prefill/2)
}

// slowdownAt returns the slowdown, which fades while no first event comes, so that a runner is tried again.
func (backlog *runnerBacklog) slowdownAt(now time.Time) float64 {
	faded := math.Exp(-float64(now.Sub(backlog.updatedAt)) / float64(slowdownDecay))
	return 1 + (backlog.slowdown-1)*faded
}
