package placement

import (
	"time"

	"wardtray/balancer/scheduler"
)

const (
	// maximumRetries bounds the number of retries of a request.
	maximumRetries = 3
	// refusedConnectionTime is the time until a connection to an unreachable runner is refused.
	refusedConnectionTime = time.Millisecond
	// headerBytes is the size of the headers of a request and its response, eventBytes the size of an event; a prompt
	// token takes about one byte.
	headerBytes = 1000
	eventBytes  = 80
)

// batchRequest is a request of a batchSimulation after its arrival.
type batchRequest struct {
	drawnRequest
	queued  *scheduler.QueuedRequest
	arrived time.Time
	// window is the number of the time window in which the request arrived.
	window int
	// retries is the number of attempts after which retryElsewhere was called.
	retries    int
	firstEvent time.Time
}

// schedule passes a request to a daemon's scheduler, at its arrival or for a retry.
func (simulated *batchSimulation) schedule(daemon *daemon, request *batchRequest) {
	daemon.schedule(simulated.world.Now, request.queued, func(decision scheduler.Decision) {
		if decision.Kind == scheduler.Dispatch {
			simulated.dispatch(daemon, request, decision)
			return
		}
		simulated.results.update(request.route.Name, func(result *BatchResult) { result.Refused++ })
	})
}

// dispatch sends a request to the runner that the scheduler chose.
func (simulated *batchSimulation) dispatch(daemon *daemon, request *batchRequest, decision scheduler.Decision) {
	world, runner := simulated.world, simulated.runners.available(decision.Runner.ID)
	simulated.results.update(request.route.Name, func(result *BatchResult) { result.Sends++ })
	if runner == nil {
		daemon.table.Eject(world.Now, decision.Runner.ID, "unreachable")
		// A retry after a refused connection doesn't use the retry budget.
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

// retryElsewhere schedules a request again that its runner did not accept, if it has retries left and the retry budget
// allows it. An unbudgeted retry doesn't use the budget.
func (simulated *batchSimulation) retryElsewhere(
	daemon *daemon,
	request *batchRequest,
	decision scheduler.Decision,
	unbudgeted bool,
) {
	now, runner := simulated.world.Now, decision.Runner.ID
	daemon.scheduler.Release(now, request.queued, runner)
	request.queued.Requirements.ExcludedRunners[runner] = true
	request.retries++
	if request.retries > maximumRetries || !unbudgeted && !daemon.budget.AllowRetry(now) {
		simulated.results.update(request.route.Name, func(result *BatchResult) { result.Failed++ })
		return
	}
	simulated.schedule(daemon, request)
}

// attempt is an attempt to run a request at a runner.
type attempt struct {
	simulated *batchSimulation
	daemon    *daemon
	request   *batchRequest
	decision  scheduler.Decision
	runner    *batchRunner
	sent      time.Time
}

// sequenceRequest returns the request that the runner receives.
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

// firstEventReceived handles the first event of an answer; cached is the number of prompt tokens that were cached.
func (attempt *attempt) firstEventReceived(cached int) {
	simulated, daemon, request, runner := attempt.simulated, attempt.daemon, attempt.request, attempt.runner
	now := simulated.world.Now
	request.firstEvent = now
	daemon.table.RequestSucceeded(runner.id)
	// The load report in a response contains no memory use.
	report := runner.report()
	report.MemoryTokens, report.UsedTokens = 0, 0
	daemon.table.RecordReport(now, runner.id, report)
	daemon.scheduler.FirstEventReceived(request.queued, attempt.decision, now.Sub(attempt.sent))
	reread := simulated.rereadTokens(request, cached)
	simulated.results.update(request.route.Name, func(result *BatchResult) {
		result.FirstEventTimes = append(result.FirstEventTimes, now.Sub(request.arrived))
		result.RereadTokens += reread
		if runner.zone != daemon.zone {
			result.CrossZone++
			result.CrossZoneBytes += request.bytes(runner.profile.Stride)
		}
	})
}

// bytes returns the approximate network traffic of a request and its answer, whose events have stride tokens each.
func (request *batchRequest) bytes(stride int) float64 {
	return headerBytes + float64(request.promptTokens) +
		eventBytes*float64(request.answerTokens)/float64(stride)
}

// rereadTokens returns the number of tokens of a prompt's shared parts that some runner had prefilled before and that
// were not cached, so that they were prefilled again. It records the parts as prefilled.
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

// finished handles the end of an attempt, with a complete or an incomplete answer.
func (attempt *attempt) finished(outcome sequenceOutcome) {
	simulated, daemon, request := attempt.simulated, attempt.daemon, attempt.request
	now := simulated.world.Now
	inTime := outcome.longestPause <= request.route.MaximumPause &&
		request.firstEvent.Sub(request.arrived) <= request.route.LatencyTarget
	simulated.results.update(request.route.Name,
		func(result *BatchResult) { result.recordEnd(request, outcome.complete, inTime) })
	if outcome.complete {
		daemon.scheduler.RequestCompleted(0, 0, now.Sub(attempt.sent))
	} else if !outcome.started {
		daemon.table.Eject(now, attempt.runner.id, "gave no first event")
	}
	daemon.release(now, request.queued, attempt.runner.id)
}
