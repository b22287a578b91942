package proxy

import (
	"time"

	"wardtray/config"
	"wardtray/coordination/quota"
)

const (
	// quotaTimeout and quotaShare bound how long a request waits for tokens of its tenant's quota: a time, and a part
	// of its latency target, so that a refusal leaves its client the time to come again.
	quotaTimeout = 150 * time.Millisecond
	quotaShare   = 0.2
	// startupTime is for how long after its start a daemon assumes that it lacks tokens only because it has just
	// started, so that its requests wait longer, for the part startupQuotaShare of their latency target.
	startupTime       = 3 * time.Second
	startupQuotaShare = 0.8
)

// tenantName returns the name of a tenant, empty for none.
func tenantName(tenant *config.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// tenantRank returns the rank of a tenant, 0 for none.
func tenantRank(tenant *config.Tenant) int {
	if tenant == nil {
		return 0
	}
	return tenant.Rank
}

// quotaCharge is what one request took of its tenant's quota: once for all its attempts.
type quotaCharge struct {
	handler *Handler
	client  *clientConnection
	// tenant and tokens say whose quota was charged, and how much; 0: nothing was.
	tenant string
	tokens float64
}

// take charges a tenant, and reports whether that could be done. Where this daemon's share is used up, more is
// requested at once and waited for, for a part of the request's latency target.
func (charge *quotaCharge) take(tenant string, tokens float64, latencyTarget time.Duration) bool {
	limiter := charge.handler.Quota
	limiter.RecordDemand(charge.now(), tenant, tokens)
	if !limiter.Take(charge.now(), tenant, tokens) && !charge.await(tenant, tokens, latencyTarget) {
		return false
	}
	charge.tenant, charge.tokens = tenant, tokens
	return true
}

// await requests more of a quota and waits for it; it reports whether the tokens could be taken.
func (charge *quotaCharge) await(tenant string, tokens float64, latencyTarget time.Duration) bool {
	limiter := charge.handler.Quota
	done := limiter.AddWaiting(charge.now(), tenant, tokens)
	defer done()
	startingUp := charge.now().Sub(charge.handler.Started) < startupTime
	timeout := min(quotaTimeout, time.Duration(quotaShare*float64(latencyTarget)))
	if startingUp {
		timeout = time.Duration(startupQuotaShare * float64(latencyTarget))
	}
	until := charge.now().Add(timeout)
	for (startingUp || !limiter.InShortage(charge.now(), tenant)) && !charge.client.hasLeft() {
		changed := limiter.Changed()
		if limiter.Take(charge.now(), tenant, tokens) {
			return true
		}
		charge.handler.RequestQuota()
		remaining := until.Sub(charge.now())
		if remaining <= 0 {
			return false
		}
		// A response may be lost, or have been under way already when the need arose.
		charge.handler.Environment.Wait(charge.client.ctx, min(remaining, quota.GrantTimeout), changed)
	}
	return !charge.client.hasLeft() && limiter.Take(charge.now(), tenant, tokens)
}

// refund returns what a request took that certainly has not run.
func (charge *quotaCharge) refund() {
	if charge.tokens > 0 {
		charge.handler.Quota.Refund(charge.now(), charge.tenant, charge.tokens)
		charge.tokens = 0
	}
}

func (charge *quotaCharge) now() time.Time { return charge.handler.Environment.Now() }
