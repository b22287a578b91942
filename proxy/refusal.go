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
	// usualStart is within what time of its start a daemon is sure of its spec.
	usualStart     = 800 * time.Millisecond
	longestSilence = 10 * time.Second
)

// comeback reckons when another try may help.
func (exchange *Exchange) comeback(kind apierror.Code) time.Duration {
	reckons := map[apierror.Code]func() time.Duration{
		// A silence lasts, as far as can be known, about as long again as it has lasted.
		apierror.NotServing: func() time.Duration {
			// Another daemon is there at once for what comes to one that stops.
			if exchange.handler.Draining.Load() {
				return elsewhereAfter
			}
			until := exchange.handler.Snapshot().Until
			// One that has just begun is sure of its spec within a moment; there is no silence to reckon by yet.
			if until.Before(exchange.handler.Started) {
				return max(lease.RenewEvery, usualStart-exchange.now().Sub(exchange.handler.Started))
			}
			return min(longestSilence, max(lease.RenewEvery, exchange.now().Sub(until)))
		},
		apierror.NoRunner:       func() time.Duration { return exchange.scheduler.RetryAfter(exchange.now(), exchange.queuedRequest) },
		apierror.OutcomeUnknown: func() time.Duration { return exchange.scheduler.RetryAfter(exchange.now(), exchange.queuedRequest) },
	}
	reckon := reckons[kind]
	if reckon == nil || kind == apierror.OutcomeUnknown && !exchange.route.Idempotent {
		return 0
	}
	return reckon()
}

// ran keeps a doubt once there is one, and what is known of the request from before.
func (exchange *Exchange) ran(said string) string {
	if word := ranWords[exchange.said]; word != "" {
		return word
	}
	// What was relayed did run.
	if exchange.ambiguous || exchange.relayed {
		return scheduler.Unknown
	}
	return said
}

// refusedStep counts and tells what the scheduler decided.
func (exchange *Exchange) refusedStep() *codec.Refusal {
	late := exchange.now().Sub(exchange.started) > 50*time.Millisecond
	exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) {
		if late {
			route.Late++
		} else {
			route.Early++
		}
	})
	return exchange.refusal(exchange.step.Fault, exchange.step.Reason, scheduler.DidNotRun, exchange.step.RetryAfter)
}

// refusalOf tells what a fault means for the client.
func (exchange *Exchange) refusalOf(err error) *codec.Refusal {
	found := apierror.Of(err)
	return exchange.refusal(found.Code, found.Detail, scheduler.DidNotRun, exchange.comeback(found.Code))
}

// refusal gives what to tell of a request that gets no stream, or no more of one.
func (exchange *Exchange) refusal(kind apierror.Code, detail, ran string, retry time.Duration) *codec.Refusal {
	ran = exchange.ran(ran)
	// Whatever ended this attempt, an earlier one may have run, and that is what the client must know.
	if exchange.ambiguous && kind != apierror.ClientGone {
		kind = apierror.OutcomeUnknown
	}
	if exchange.relayed && kind != apierror.ClientGone {
		kind, retry = apierror.RunFailed, 0
	}
	return &codec.Refusal{Kind: kind, Detail: detail, Ran: ran, Retry: retry, DidNotRun: ran == scheduler.DidNotRun, Late: exchange.over()}
}

// refuse ends a course without a stream.
func (exchange *Exchange) refuse(refusal codec.Refusal) {
	exchange.to(finished)
	if refusal.DidNotRun {
		exchange.uncharge()
	}
	exchange.settle(map[bool]dedup.State{true: "", false: dedup.Unknown}[refusal.DidNotRun])
	if exchange.scheduler != nil {
		exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) { route.Ends[string(refusal.Kind)]++ })
	}
	if exchange.left() {
		exchange.client.Last()
	}
	exchange.handler.Codec.Refuse(exchange.client, exchange.request, refusal)
	exchange.close()
}
