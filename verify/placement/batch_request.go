package placement

import (
	"time"

	"wardtray/balancer/scheduler"
)

const (
	// maximumRetries is how often a request is sent again at most.
	maximumRetries = 3
	// refusedConnectionTime is how long it takes to learn that a runner is unreachable.
	refusedConnectionTime = time.Millisecond
	// headBytes are what the heads of a request and its answer take on the way, eventBytes what an event does; a prompt
	// token takes about one byte.
	headBytes  = 1000
	eventBytes = 80
)

// batchRequest is one request of a batchSimulation from its arrival on.
type batchRequest struct {
	drawnRequest
	queued  *scheduler.QueuedRequest
	arrived time.Time
	// window is the number of the window of time in which the request arrived.
	window int
	// retries is how often the request was given up by a runner so far.
	retries    int
	firstEvent time.Time
}

// schedule gives a request to a daemon, at its arrival or for a retry.
func (simulated *batchSimulation) schedule(daemon *daemon, request *batchRequest) {
	daemon.schedule(simulated.world.Now, request.queued, func(decision scheduler.Decision) {
		if decision.Kind == scheduler.Dispatch {
			simulated.dispatch(daemon, request, decision)
			return
		}
		simulated.results.update(request.route.Name, func(earned *Earned) { earned.Refused++ })
	})
}

// dispatch sends a request to the runner that the scheduler took.
func (simulated *batchSimulation) dispatch(daemon *daemon, request *batchRequest, decision scheduler.Decision) {
	world, runner := simulated.world, simulated.runners.available(decision.Runner.ID)
	simulated.results.update(request.route.Name, func(earned *Earned) { earned.Sends++ })
	if runner == nil {
		daemon.table.Eject(world.Now, decision.Runner.ID, "unreachable")
		// What no connection was made for costs no retry budget.
		world.After(refusedConnectionTime, func() { simulated.retryElsewhere(daemon, request, decision, true) })
		return
	}
	sent := &attempt{
		simulated: simulated,
		daemon:    daemon,
		request:   request,
		decision:  decision,
		runner:    runner,
		sent:      world.Now,
	}
	daemon.scheduler.RequestSent(sent.sent, request.queued, decision)
	if !runner.accept(sent.sequenceRequest()) {
		daemon.scheduler.RequestRejected(sent.sent, request.queued, decision)
		simulated.retryElsewhere(daemon, request, decision, false)
	}
}

// retryElsewhere schedules a request anew that its runner did not take, if it has retries left and the retry budget
// allows it; a free retry does without the budget.
func (simulated *batchSimulation) retryElsewhere(
	daemon *daemon,
	request *batchRequest,
	decision scheduler.Decision,
	free bool,
) {
	now, runner := simulated.world.Now, decision.Runner.ID
	daemon.scheduler.Release(now, request.queued, runner)
	request.queued.Requirements.ExcludedRunners[runner] = true
	request.retries++
	if request.retries > maximumRetries || !free && !daemon.budget.AllowRetry(now) {
		simulated.results.update(request.route.Name, func(earned *Earned) { earned.Failed++ })
		return
	}
	simulated.schedule(daemon, request)
}

// attempt is one request at one runner.
type attempt struct {
	simulated *batchSimulation
	daemon    *daemon
	request   *batchRequest
	decision  scheduler.Decision
	runner    *batchRunner
	sent      time.Time
}

// sequenceRequest is what the runner gets of the attempt.
func (attempt *attempt) sequenceRequest() sequenceRequest {
	request := attempt.request
	return sequenceRequest{
		keys:       request.queued.Keys,
		partTokens: request.queued.PartTokens,
		urgency:    attempt.decision.Urgency,
		prompt:     request.promptTokens,
		answer:     request.answerTokens,
		expires:    request.arrived.Add(request.route.Deadline),
		firstEvent: attempt.firstEventReceived,
		finished:   attempt.finished,
	}
}

// firstEventReceived takes the first event of an answer, of whose prompt so many tokens were cached.
func (attempt *attempt) firstEventReceived(cached int) {
	simulated, daemon, request, runner := attempt.simulated, attempt.daemon, attempt.request, attempt.runner
	now := simulated.world.Now
	request.firstEvent = now
	daemon.table.RequestSucceeded(runner.id)
	// The report that comes with a response tells nothing of memory.
	report := runner.report()
	report.MemoryTokens, report.UsedTokens = 0, 0
	daemon.table.RecordReport(now, runner.id, report)
	daemon.scheduler.FirstEventReceived(request.queued, attempt.decision, now.Sub(attempt.sent))
	reread := simulated.rereadTokens(request, cached)
	simulated.results.update(request.route.Name, func(earned *Earned) {
		earned.First = append(earned.First, now.Sub(request.arrived))
		earned.RereadTokens += reread
		if runner.zone != daemon.zone {
			earned.CrossZone++
			earned.CrossZoneBytes += request.bytes(runner.figures.Stride)
		}
	})
}

// bytes is about what a request and its answer take on the way, with events of so many tokens.
func (request *batchRequest) bytes(stride int) float64 {
	return headBytes + float64(request.promptTokens) +
		eventBytes*float64(request.answerTokens)/float64(stride)
}

// rereadTokens counts the tokens of a prompt's shared parts that some runner had read before and that were read anew
// since only so many were cached; it notes the parts as read.
func (simulated *batchSimulation) rereadTokens(request *batchRequest, cached int) (reread int) {
	shared := request.queued.Keys[:len(request.queued.Keys)-1]
	for index, key := range shared {
		tokens := request.queued.PartTokens[index]
		if cached -= tokens; cached < 0 && simulated.knownBlocks[key] {
			reread += tokens
		}
		simulated.knownBlocks[key] = true
	}
	return reread
}

// finished takes the end of an answer, which is complete or not.
func (attempt *attempt) finished(result sequenceResult) {
	simulated, daemon, request := attempt.simulated, attempt.daemon, attempt.request
	now := simulated.world.Now
	inTime := result.worstPause <= request.route.Pause &&
		request.firstEvent.Sub(request.arrived) <= request.route.LatencyTarget
	simulated.results.update(request.route.Name,
		func(earned *Earned) { earned.ended(request, result.complete, inTime) })
	if result.complete {
		daemon.scheduler.RequestCompleted(0, 0, now.Sub(attempt.sent))
	} else if !result.started {
		daemon.table.Eject(now, attempt.runner.id, "gave no first event")
	}
	daemon.release(now, request.queued, attempt.runner.id)
}
