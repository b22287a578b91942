package controller

import (
	"time"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

// AskQuota asks the head for shares now, unless the answer to an earlier question is still to come.
func (director *Director) AskQuota(now time.Time) {
	if director.startup.Quota == nil || len(director.view.Chain) == 0 || director.startup.Quota.Awaits(now) {
		return
	}
	director.askTicks(now, []string{director.view.Chain[0].Address})
}

// limited tells whether any tenant of the present spec has a quota.
func (director *Director) limited() bool {
	if director.book == nil {
		return false
	}
	for place := range director.book.Spec.Tenants {
		if director.book.Spec.Tenants[place].Quota.Limits() {
			return true
		}
	}
	return false
}

// quotaReport gives what this daemon holds, for the head alone; nil where that is not asked about now. A report makes the
// answers to all earlier ones void, so none goes out while one is awaited.
func (director *Director) quotaReport(now time.Time, address string, nonce uint64) *wire.QuotaReport {
	holder := director.startup.Quota
	if holder == nil || len(director.view.Chain) == 0 || director.view.Chain[0].Address != address || holder.Awaits(now) {
		return nil
	}
	report := &wire.QuotaReport{}
	// That this daemon holds nothing is worth telling too: a new head waits to know what all hold.
	if holder.Blank() && !director.limited() {
		return report
	}
	for _, claim := range holder.Claims(now, nonce) {
		report.Claims = append(report.Claims, claimMessage(claim))
	}
	return report
}

// onQuotaGrant takes in the shares that the head gives. Those of a head that has been followed by another are as good:
// they count from their question, and the new head waits for their end or for this daemon's report, which makes them void.
func (director *Director) onQuotaGrant(now time.Time, message *wire.TickGrant) {
	if director.startup.Quota == nil || message.Quota == nil {
		return
	}
	shares := make([]quota.Share, 0, len(message.Quota.Shares))
	for _, share := range message.Quota.Shares {
		shares = append(shares, quota.Share{Tenant: share.Tenant, Tokens: share.Tokens, Capacity: share.Capacity, Rate: share.Rate})
	}
	director.startup.Quota.Granted(now, message.Nonce, time.Duration(message.Quota.Milliseconds)*time.Millisecond, shares)
}

func claimMessage(claim quota.Claim) *wire.QuotaClaim {
	return &wire.QuotaClaim{Tenant: claim.Tenant, Balance: claim.Balance, Capacity: claim.Capacity, Rate: claim.Rate,
		Filled: claim.Filled, Returned: claim.Returned, Demand: claim.Demand, Want: claim.Want, Need: claim.Need}
}
