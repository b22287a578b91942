package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/coordination/lease"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

const (
	// elsewhereAfter is when a request that a stopping daemon does not take may come to another.
	elsewhereAfter = 20 * time.Millisecond
	// usualStartup is within what time of its start a daemon's configuration is known to be current.
	usualStartup = 800 * time.Millisecond
	// longestRetryAfter bounds when a client is asked to come back to a daemon that is cut off.
	longestRetryAfter = 10 * time.Second
	// earlyRejection is within what time of its arrival a request is rejected that is counted as rejected early.
	earlyRejection = 50 * time.Millisecond
)

// retryAfter estimates when another attempt of the client may succeed; 0: that is not known.
func (exchange *Exchange) retryAfter(code apierror.Code) time.Duration {
	switch {
	case code == apierror.NotServing:
		return exchange.handler.serviceExpectedIn(exchange.now())
	case code == apierror.TooManyRemembered:
		return exchange.roomAfter()
	case code == apierror.NoRunner, code == apierror.OutcomeUnknown && exchange.route.Idempotent:
		return exchange.scheduler.RetryAfter(exchange.now(), exchange.queuedRequest)
	default:
		return 0
	}
}

// roomAfter returns after what time one more request that runs at most once can be remembered.
func (exchange *Exchange) roomAfter() time.Duration {
	if reserved := exchange.atMostOnce.reserved; reserved != nil {
		return reserved.RoomAfter()
	}
	key := dedup.KeyOf(exchange.request.Route, exchange.request.ID)
	return exchange.handler.Dedup.RoomAfter(exchange.now(), key)
}

// serviceExpectedIn estimates when this daemon, or another one in its place, will serve again.
func (handler *Handler) serviceExpectedIn(now time.Time) time.Duration {
	// Another daemon is there at once for what comes to one that stops.
	if handler.Draining.Load() {
		return elsewhereAfter
	}
	until := handler.Snapshot().Until
	// One that has just started knows its configuration to be current within a moment; there is no outage to go by yet.
	if until.Before(handler.Started) {
		return max(lease.DaemonRenewInterval, usualStartup-now.Sub(handler.Started))
	}
	// An outage lasts, as far as can be known, about as long again as it has lasted.
	return min(longestRetryAfter, max(lease.DaemonRenewInterval, now.Sub(until)))
}

// rejectedByScheduler counts and returns the rejection that the scheduler decided on.
func (exchange *Exchange) rejectedByScheduler() *codec.Refusal {
	late := exchange.now().Sub(exchange.deadline.started) > earlyRejection
	exchange.count(func(route *metrics.RouteMetrics) {
		if late {
			route.RejectedLate++
		} else {
			route.RejectedEarly++
		}
	})
	decision := exchange.decision
	return exchange.refusal(decision.ErrorCode, decision.Reason, scheduler.DidNotRun, decision.RetryAfter)
}

// refusalOf returns what an error means for the client of a request that this attempt did not send.
func (exchange *Exchange) refusalOf(err error) *codec.Refusal {
	found := apierror.Of(err)
	return exchange.refusal(found.Code, found.Detail, scheduler.DidNotRun, exchange.retryAfter(found.Code))
}

// refusalAfter returns what the client is told when nothing follows an attempt.
func (exchange *Exchange) refusalAfter(next scheduler.RetryDecision, detail string) *codec.Refusal {
	return exchange.refusal(next.ErrorCode, detail, next.Execution, exchange.retryAfter(next.ErrorCode))
}

// refusal returns what the client is told of a request that gets no stream, or no more of one.
func (exchange *Exchange) refusal(code apierror.Code, detail, ran string, retry time.Duration) *codec.Refusal {
	refusal := exchange.execution.refusal(code, detail, ran, retry)
	refusal.DeadlinePassed = exchange.isPastDeadline()
	refusal.Term = exchange.handler.Snapshot().Term
	return refusal
}

// refuse finishes a request without a stream.
func (exchange *Exchange) refuse(refusal codec.Refusal) {
	exchange.state.to(stateFinished)
	if refusal.DidNotRun {
		exchange.charge.refund()
	}
	// Of what this daemon has sent to no runner it has nothing to remember, whatever another one may have done.
	if refusal.DidNotRun || !exchange.atMostOnce.isSent {
		exchange.atMostOnce.forget()
	} else {
		exchange.atMostOnce.finish(exchange.now(), dedup.Unknown)
	}
	if exchange.scheduler != nil {
		exchange.count(func(route *metrics.RouteMetrics) { route.Outcomes[string(refusal.Code)]++ })
	}
	if exchange.client.hasLeft() {
		exchange.client.CloseAfterResponse()
	}
	exchange.handler.Codec.Refuse(exchange.client.Client, exchange.request, refusal)
	exchange.close()
}
