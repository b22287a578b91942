package proxy

import (
	"fmt"

	"wardtray/balancer/scheduler"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy/codec"
)

// findRunner schedules the request and sends it to the chosen runner, repeatedly, until a response may be relayed.
// Otherwise it returns the refusal. last is the outcome of the previous attempt.
func (exchange *Exchange) findRunner(last scheduler.AttemptOutcome) *codec.Refusal {
	for {
		exchange.state.to(stateScheduling)
		if refusal := exchange.schedule(last); refusal != nil {
			return refusal
		}
		exchange.state.to(stateConnecting)
		exchange.attemptCounter.attempts++
		exchange.attempt = &attempt{exchange: exchange, decision: exchange.decision}
		outcome := exchange.attempt.execute()
		if exchange.settleHedge(outcome == responseReady) || outcome == responseReady {
			return nil
		}
		exchange.attempt.release()
		if err := exchange.attempt.reservationError; err != nil {
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

// schedule waits until the scheduler has chosen a runner, after an attempt with the outcome last. It returns the
// refusal if there is no runner.
func (exchange *Exchange) schedule(last scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.client.hasDisconnected() {
		return exchange.refusalOf(errClientDisconnected())
	}
	if !exchange.mayAttempt() || exchange.isPastDeadline() {
		return exchange.refusalAfter(exchange.decideRetry(last), "every attempt failed")
	}
	// Since the last attempt the configuration may have changed and lack the route or its backend.
	if err := exchange.resolve(); err != nil {
		return exchange.refusalOf(err)
	}
	if !exchange.awaitDecision() {
		return exchange.refusalOf(errClientDisconnected())
	}
	if exchange.decision.Kind == scheduler.Reject {
		return exchange.rejectedByScheduler()
	}
	return nil
}

// awaitDecision adds the request to its scheduler's queue and waits for the decision. It reports whether there is one.
// If the client disconnects, the request is removed from the queue.
func (exchange *Exchange) awaitDecision() bool {
	exchange.scheduler.Schedule(exchange.now(), exchange.queuedRequest)
	decision, decided := exchange.handler.Await(exchange.client.ctx, exchange.queuedRequest.Decisions)
	if !decided {
		if exchange.scheduler.Cancel(exchange.queuedRequest) {
			return false
		}
		// The scheduler has decided already, and the slots that it reserved have to be released.
		decision = <-exchange.queuedRequest.Decisions
	}
	exchange.decision = decision
	return true
}

// handleFailedAttempt returns the refusal after a failed attempt, or nil if another attempt may follow.
func (exchange *Exchange) handleFailedAttempt(outcome scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.client.hasDisconnected() {
		return exchange.refusalOf(errClientDisconnected())
	}
	next, runner := exchange.decideRetry(outcome), exchange.decision.Runner.ID
	if !next.Retry {
		return exchange.refusalAfter(next, fmt.Sprintf("runner %s gave no answer", runner))
	}
	if exchange.waitsForListing() {
		exchange.attemptCounter.attempts--
		return nil
	}
	// The runner is not at fault if the attempt was not sent because this daemon's configuration was not known to be
	// current.
	if outcome != scheduler.NotSent || exchange.handler.Snapshot().ExpiresAt.After(exchange.now()) {
		exchange.queuedRequest.Requirements.ExcludedRunners[runner] = true
	}
	return nil
}

// waitsForListing reports whether the attempt found the list of runners to be out of date. Such an attempt does not
// count against the request: the runner is ejected, and once all runners are ejected, the request waits for a newer
// list. If ejection is disabled every attempt counts, so that their number stays bounded.
func (exchange *Exchange) waitsForListing() bool {
	return exchange.attempt.listingIsStale && !exchange.handler.Disabled[features.Ejection]
}

// decideRetry returns whether another attempt may follow, and the refusal to report otherwise.
func (exchange *Exchange) decideRetry(outcome scheduler.AttemptOutcome) scheduler.RetryDecision {
	next := scheduler.DecideRetry(outcome, exchange.route.Idempotent)
	// The client keeps the events that were relayed, and a resumable stream continues after them at another runner.
	resumes := exchange.route.Resumable && !exchange.handler.Disabled[features.Resumption]
	if outcome == scheduler.Broken && resumes {
		next.Retry = true
	}
	return next
}

// spendSend reports whether the retry budget allows a send now, and takes a retry out of the budget.
func (exchange *Exchange) spendSend() bool {
	permission := exchange.attemptCounter.spend(exchange.now(), exchange.handler.budget(exchange.backend.Name))
	if permission == sendRetry {
		exchange.count(func(route *metrics.RouteMetrics) { route.Retries++ })
	}
	return permission != sendDenied
}
