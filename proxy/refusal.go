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
	// otherDaemonRetryAfter is the time after which a client should retry, at another daemon, a request that a stopping
	// daemon refuses.
	otherDaemonRetryAfter = 20 * time.Millisecond
	// typicalStartupTime is the time after its start by which a daemon usually knows its configuration to be current.
	typicalStartupTime = 800 * time.Millisecond
	// maximumRetryAfter bounds the retry time that a daemon reports to clients while its configuration is not known to be
	// current.
	maximumRetryAfter = 10 * time.Second
	// earlyRefusalLimit is the time after arrival up to which a refused request is counted as refused early.
	earlyRefusalLimit = 50 * time.Millisecond
)

// retryAfter estimates the time after which a client retry may succeed; 0 if that is not known.
func (exchange *Exchange) retryAfter(code apierror.Code) time.Duration {
	switch {
	case code == apierror.NotServing:
		return exchange.handler.serviceExpectedIn(exchange.now())
	case code == apierror.AtMostOnceLimitReached:
		return exchange.capacityExpectedIn()
	case code == apierror.NoRunner, code == apierror.OutcomeUnknown && exchange.route.Idempotent:
		return exchange.scheduler.RetryAfter(exchange.now(), exchange.queuedRequest)
	default:
		return 0
	}
}

// capacityExpectedIn returns the time after which there is room to record one more at-most-once request.
func (exchange *Exchange) capacityExpectedIn() time.Duration {
	if reserved := exchange.atMostOnce.reserved; reserved != nil {
		return reserved.RetryAfter()
	}
	key := dedup.KeyOf(exchange.request.Route, exchange.request.ID)
	return exchange.handler.Dedup.RoomAfter(exchange.now(), key)
}

// serviceExpectedIn estimates the time until this daemon, or another one in its place, serves again.
func (handler *Handler) serviceExpectedIn(now time.Time) time.Duration {
	// Other daemons can take the requests of a stopping daemon at once.
	if handler.Draining.Load() {
		return otherDaemonRetryAfter
	}
	until := handler.Snapshot().ExpiresAt
	// A daemon that has just started soon knows its configuration to be current, and there is no outage whose duration
	// could be used for an estimate.
	if until.Before(handler.Started) {
		return max(lease.DaemonRenewInterval, typicalStartupTime-now.Sub(handler.Started))
	}
	// The best estimate of the remaining duration of an outage is the time that it has already lasted.
	return min(maximumRetryAfter, max(lease.DaemonRenewInterval, now.Sub(until)))
}

// rejectedByScheduler counts a rejection by the scheduler and returns it as a refusal.
func (exchange *Exchange) rejectedByScheduler() *codec.Refusal {
	decision := exchange.decision
	if !exchange.isHedge {
		exchange.countRejection()
	}
	return exchange.refusal(decision.ErrorCode, decision.Reason, scheduler.DidNotRun, decision.RetryAfter)
}

// countRejection counts a rejection that the client receives.
func (exchange *Exchange) countRejection() {
	late := exchange.now().Sub(exchange.deadline.started) > earlyRefusalLimit
	exchange.count(func(route *metrics.RouteMetrics) {
		if late {
			route.RefusedLate++
		} else {
			route.RefusedEarly++
		}
	})
}

// refusalOf returns the refusal for an error that occurred before this attempt was sent.
func (exchange *Exchange) refusalOf(err error) *codec.Refusal {
	found := apierror.Of(err)
	return exchange.refusal(found.Code, found.Detail, scheduler.DidNotRun, exchange.retryAfter(found.Code))
}

// refusalAfter returns the refusal of a request that gets no further attempt.
func (exchange *Exchange) refusalAfter(next scheduler.RetryDecision, detail string) *codec.Refusal {
	return exchange.refusal(next.ErrorCode, detail, next.Execution, exchange.retryAfter(next.ErrorCode))
}

// refusal returns the refusal of a request that gets no response, or whose stream ends early.
func (exchange *Exchange) refusal(code apierror.Code, detail, ran string, retry time.Duration) *codec.Refusal {
	refusal := exchange.execution.refusal(code, detail, ran, retry)
	refusal.DeadlinePassed = exchange.isPastDeadline()
	refusal.Term = exchange.handler.Snapshot().Term
	return refusal
}

// refuse finishes a request with a refusal instead of a stream.
func (exchange *Exchange) refuse(refusal codec.Refusal) {
	exchange.state.to(stateFinished)
	if refusal.DidNotRun {
		exchange.charge.refund()
	}
	// A request that this daemon has sent to no runner needs no record here, whatever another daemon has done with it.
	if refusal.DidNotRun || !exchange.atMostOnce.isSent {
		exchange.atMostOnce.forget()
	} else {
		exchange.atMostOnce.finish(exchange.now(), dedup.Unknown)
	}
	if exchange.scheduler != nil {
		exchange.count(func(route *metrics.RouteMetrics) { route.Outcomes[string(refusal.Code)]++ })
	}
	if exchange.client.hasDisconnected() {
		exchange.client.CloseAfterResponse()
	}
	exchange.handler.Codec.Refuse(exchange.client.Client, exchange.request, refusal)
	exchange.close()
}
