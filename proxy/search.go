package proxy

import (
	"fmt"

	"wardtray/balancer/scheduler"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy/codec"
)

// findRunner schedules the request and sends it to the chosen runner, until a runner's response may be relayed;
// otherwise it returns the refusal. last is how the attempt before ended.
func (exchange *Exchange) findRunner(last scheduler.AttemptOutcome) *codec.Refusal {
	for {
		exchange.state.to(stateScheduling)
		if refusal := exchange.schedule(last); refusal != nil {
			return refusal
		}
		exchange.state.to(stateConnecting)
		exchange.tries.attempts++
		exchange.attempt = &attempt{exchange: exchange, decision: exchange.decision}
		outcome := exchange.attempt.execute()
		if outcome == responseReady {
			return nil
		}
		exchange.attempt.release()
		if err := exchange.attempt.notReserved; err != nil {
			return exchange.refusalOf(err)
		}
		if outcome == scheduler.Ambiguous {
			exchange.execution.ambiguous = true
		}
		if refusal := exchange.handleFailedAttempt(outcome); refusal != nil {
			return refusal
		}
		last = outcome
	}
}

// schedule has a runner chosen, after an attempt that ended like last; it returns what to tell the client where there
// is none.
func (exchange *Exchange) schedule(last scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.client.hasLeft() {
		return exchange.refusalOf(errClientLeft())
	}
	if !exchange.mayTry() || exchange.isPastDeadline() {
		return exchange.refusalAfter(exchange.decideRetry(last), "every attempt failed")
	}
	// The configuration may have taken the route or its backend away since the last attempt.
	if err := exchange.resolve(); err != nil {
		return exchange.refusalOf(err)
	}
	if !exchange.awaitDecision() {
		return exchange.refusalOf(errClientLeft())
	}
	if exchange.decision.Kind == scheduler.Reject {
		return exchange.rejectedByScheduler()
	}
	return nil
}

// awaitDecision puts the request into its scheduler's queue and waits for the decision; it reports whether there is
// one. A request whose client leaves is removed from the queue.
func (exchange *Exchange) awaitDecision() bool {
	exchange.scheduler.Schedule(exchange.now(), exchange.queuedRequest)
	decision, decided := exchange.handler.Await(exchange.client.ctx, exchange.queuedRequest.Decisions)
	if !decided {
		if exchange.scheduler.Cancel(exchange.queuedRequest) {
			return false
		}
		// The scheduler was quicker, and the slots that it reserved have to be released.
		decision = <-exchange.queuedRequest.Decisions
	}
	exchange.decision = decision
	return true
}

// handleFailedAttempt returns what to tell the client after a failed attempt, or nil where another may follow.
func (exchange *Exchange) handleFailedAttempt(outcome scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.client.hasLeft() {
		return exchange.refusalOf(errClientLeft())
	}
	next, runner := exchange.decideRetry(outcome), exchange.decision.Runner.ID
	if !next.Retry {
		return exchange.refusalAfter(next, fmt.Sprintf("runner %s gave no answer", runner))
	}
	if exchange.waitsForListing() {
		exchange.tries.attempts--
		return nil
	}
	// A runner is not at fault where this daemon's configuration was not known to be current.
	if outcome != scheduler.NotSent || exchange.handler.Snapshot().Until.After(exchange.now()) {
		exchange.queuedRequest.Requirements.ExcludedRunners[runner] = true
	}
	return nil
}

// waitsForListing reports whether the attempt found that the list of runners is behind. It costs the request no
// attempt then: the runner is ejected, and where all are, the request waits for a newer list. Where nothing ejects
// runners, every attempt counts, so that their number stays bounded.
func (exchange *Exchange) waitsForListing() bool {
	return exchange.attempt.listingIsStale && !exchange.handler.Disabled[features.Ejection]
}

// decideRetry returns what may follow an attempt.
func (exchange *Exchange) decideRetry(outcome scheduler.AttemptOutcome) scheduler.RetryDecision {
	next := scheduler.DecideRetry(outcome, exchange.route.Idempotent)
	// What was relayed stands; a stream that may be resumed goes on after it at another runner.
	resumes := exchange.route.Resumable && !exchange.handler.Disabled[features.Resumption]
	if outcome == scheduler.Broken && resumes {
		next.Retry = true
	}
	return next
}

// spendTry reports whether the retry budget allows a send now, and takes it out of that.
func (exchange *Exchange) spendTry() bool {
	permission := exchange.tries.spend(exchange.now(), exchange.handler.budget(exchange.backend.Name))
	if permission == sendRetry {
		exchange.count(func(route *metrics.RouteMetrics) { route.Retries++ })
	}
	return permission != sendDenied
}
