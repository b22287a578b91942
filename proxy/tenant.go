package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/coordination/quota"
	"wardtray/metrics"
	"wardtray/proxy/codec"
)

const (
	// quotaWait and quotaPart bound how long a request waits for tokens of its tenant's quota: a time, and a part of its
	// latency target, so that a refusal leaves its client the time to come again.
	quotaWait = 150 * time.Millisecond
	quotaPart = 0.2
	// youth is for how long after its start a daemon takes it that it is short of tokens only because it has just begun,
	// so that its requests wait longer, for a part youthPart of their latency target.
	youth     = 3 * time.Second
	youthPart = 0.8
)

// identify finds the tenant whose key the request carries. A stream that was relayed in part stays its tenant's.
func (exchange *Exchange) identify(catalog *config.Catalog, route *config.Route) error {
	if exchange.relayed {
		return nil
	}
	tenant, known := catalog.TenantOf(exchange.request.Key, route)
	if !known {
		return apierror.New(apierror.UnknownKey, "no tenant has the request's key")
	}
	exchange.tenant = tenant
	return nil
}

func (exchange *Exchange) tenantName() string {
	if exchange.tenant == nil {
		return ""
	}
	return exchange.tenant.Name
}

func (exchange *Exchange) tenantRank() int {
	if exchange.tenant == nil {
		return 0
	}
	return exchange.tenant.Rank
}

// cost is what the request counts against its tenant's quota; 0: it is not limited.
func (exchange *Exchange) cost() float64 {
	if exchange.tenant == nil || !exchange.tenant.Quota.Limits() {
		return 0
	}
	return exchange.tenant.Quota.Cost(exchange.request.PromptTokens+exchange.request.AnswerTokens, exchange.request.TokensTold)
}

// charge takes the request's cost out of this daemon's share of its tenant's quota, once for all its attempts. Where the
// share is short the head is asked for more at once, and the request waits a moment; it gives the refusal if that is in
// vain, which promises that nothing ran.
func (exchange *Exchange) charge() *codec.Refusal {
	cost := exchange.cost()
	if cost == 0 {
		return nil
	}
	holder, tenant := exchange.handler.Quota, exchange.tenant.Name
	holder.Offer(exchange.now(), tenant, cost)
	if !holder.Take(exchange.now(), tenant, cost) && !exchange.awaitShare(tenant, cost) {
		if exchange.left() {
			return exchange.refusalOf(errLeft())
		}
		exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) { route.QuotaSpent++ })
		return exchange.refusal(apierror.QuotaSpent, "tenant "+tenant+" has used up its quota for now", scheduler.DidNotRun,
			holder.Refused(exchange.now(), tenant, cost))
	}
	exchange.charged, exchange.chargedTo = cost, tenant
	return nil
}

// awaitShare asks for more of a quota and waits for it; it tells whether the cost could be taken.
func (exchange *Exchange) awaitShare(tenant string, cost float64) bool {
	holder := exchange.handler.Quota
	done := holder.Need(exchange.now(), tenant, cost)
	defer done()
	young := exchange.now().Sub(exchange.handler.Started) < youth
	bound := min(quotaWait, time.Duration(quotaPart*float64(exchange.latencyTarget())))
	if young {
		bound = time.Duration(youthPart * float64(exchange.latencyTarget()))
	}
	until := exchange.now().Add(bound)
	for (young || !holder.Short(exchange.now(), tenant)) && !exchange.left() {
		changed := holder.Changed()
		if holder.Take(exchange.now(), tenant, cost) {
			return true
		}
		exchange.handler.AskQuota()
		left := until.Sub(exchange.now())
		if left <= 0 {
			return false
		}
		// An answer may be lost, or have been under way already when the need came up.
		exchange.handler.Environment.Wait(exchange.ctx, min(left, quota.AnswerBound), changed)
	}
	return !exchange.left() && holder.Take(exchange.now(), tenant, cost)
}

// uncharge gives back what a request took that has surely not run.
func (exchange *Exchange) uncharge() {
	if exchange.charged > 0 {
		exchange.handler.Quota.Return(exchange.now(), exchange.chargedTo, exchange.charged)
		exchange.charged = 0
	}
}
