package proxy

import (
	"time"

	"wardtray/config"
	"wardtray/coordination/quota"
)

const (
	// A request waits for tokens of its tenant's quota for at most quotaTimeout, and for at most the fraction
	// quotaTimeoutFraction of its latency target, so that the client still has time to retry after a refusal.
	quotaTimeout         = 150 * time.Millisecond
	quotaTimeoutFraction = 0.2
	// startupPeriod is the time after its start during which a daemon attributes a lack of tokens to the start itself.
	// Requests then wait longer, for the fraction startupTimeoutFraction of their latency target.
	startupPeriod          = 3 * time.Second
	startupTimeoutFraction = 0.8
)

// tenantName returns the name of a tenant; empty if the tenant is nil.
func tenantName(tenant *config.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// tenantRank returns the rank of a tenant; 0 if the tenant is nil.
func tenantRank(tenant *config.Tenant) int {
	if tenant == nil {
		return 0
	}
	return tenant.Rank
}

// quotaCharge charges one request to its tenant's quota, once for all its attempts.
type quotaCharge struct {
	handler *Handler
	client  *clientConnection
	// tenant is the tenant that was charged, and tokens the amount; 0 if nothing was charged.
	tenant string
	tokens float64
}

// take charges a tenant and reports whether it succeeded. If this daemon's share is used up, it requests more at once
// and waits for a fraction of the request's latency target.
func (charge *quotaCharge) take(tenant string, tokens float64, latencyTarget time.Duration) bool {
	limiter := charge.handler.Quota
	limiter.RecordDemand(charge.now(), tenant, tokens)
	if !limiter.Take(charge.now(), tenant, tokens) && !charge.await(tenant, tokens, latencyTarget) {
		return false
	}
	charge.tenant, charge.tokens = tenant, tokens
	return true
}

// await requests more tokens of a quota and waits for them. It reports whether the tokens could be taken.
func (charge *quotaCharge) await(tenant string, tokens float64, latencyTarget time.Duration) bool {
	limiter := charge.handler.Quota
	done := limiter.AddWaiting(charge.now(), tenant, tokens)
	defer done()
	startingUp := charge.now().Sub(charge.handler.Started) < startupPeriod
	timeout := min(quotaTimeout, time.Duration(quotaTimeoutFraction*float64(latencyTarget)))
	if startingUp {
		timeout = time.Duration(startupTimeoutFraction * float64(latencyTarget))
	}
	until := charge.now().Add(timeout)
	for (startingUp || !limiter.InShortage(charge.now(), tenant)) && !charge.client.hasDisconnected() {
		changed := limiter.Changed()
		if limiter.Take(charge.now(), tenant, tokens) {
			return true
		}
		charge.handler.RequestQuota()
		remaining := until.Sub(charge.now())
		if remaining <= 0 {
			return false
		}
		// Each wait is bounded, after which the tokens are requested again: a response may be lost, or have been sent before
		// this request needed the tokens.
		charge.handler.Environment.Wait(charge.client.ctx, min(remaining, quota.GrantTimeout), changed)
	}
	return !charge.client.hasDisconnected() && limiter.Take(charge.now(), tenant, tokens)
}

// refund returns the tokens of a request that certainly did not run.
func (charge *quotaCharge) refund() {
	if charge.tokens > 0 {
		charge.handler.Quota.Refund(charge.now(), charge.tenant, charge.tokens)
		charge.tokens = 0
	}
}

func (charge *quotaCharge) now() time.Time { return charge.handler.Environment.Now() }
