package controller

import (
	"time"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

// AskQuota asks the head for shares now, unless the answer to an earlier question is still to come.
func (controller *Controller) AskQuota(now time.Time) {
	if controller.settings.Quota == nil || len(controller.view.Chain) == 0 || controller.settings.Quota.Awaits(now) {
		return
	}
	controller.askTicks(now, []string{controller.view.Chain[0].Address})
}

// limited tells whether any tenant of the present spec has a quota.
func (controller *Controller) limited() bool {
	if controller.catalog == nil {
		return false
	}
	for place := range controller.catalog.Spec.Tenants {
		if controller.catalog.Spec.Tenants[place].Quota.Limits() {
			return true
		}
	}
	return false
}

// quotaReport gives what this daemon holds, for the head alone; nil where that is not asked about now. A report makes the
// answers to all earlier ones void, so none goes out while one is awaited.
func (controller *Controller) quotaReport(now time.Time, address string, nonce uint64) *wire.QuotaReport {
	holder := controller.settings.Quota
	if holder == nil || len(controller.view.Chain) == 0 || controller.view.Chain[0].Address != address || holder.Awaits(now) {
		return nil
	}
	report := &wire.QuotaReport{}
	// That this daemon holds nothing is worth telling too: a new head waits to know what all hold.
	if holder.Blank() && !controller.limited() {
		return report
	}
	for _, claim := range holder.TenantReports(now, nonce) {
		report.Tenants = append(report.Tenants, claimMessage(claim))
	}
	return report
}

// onQuotaGrant takes in the shares that the head gives. Those of a head that has been followed by another are as good:
// they count from their question, and the new head waits for their end or for this daemon's report, which makes them void.
func (controller *Controller) onQuotaGrant(now time.Time, message *wire.DaemonLeaseGrant) {
	if controller.settings.Quota == nil || message.Quota == nil {
		return
	}
	shares := make([]quota.Share, 0, len(message.Quota.Shares))
	for _, share := range message.Quota.Shares {
		shares = append(shares, quota.Share{Tenant: share.Tenant, Tokens: share.Tokens, Capacity: share.Capacity, Rate: share.Rate})
	}
	controller.settings.Quota.Granted(now, message.Nonce, time.Duration(message.Quota.Milliseconds)*time.Millisecond, shares)
}

func claimMessage(claim quota.TenantReport) *wire.QuotaTenantReport {
	return &wire.QuotaTenantReport{Tenant: claim.Tenant, Balance: claim.Balance, Capacity: claim.Capacity, Rate: claim.Rate,
		Filled: claim.Filled, Returned: claim.Returned, Demand: claim.Demand, Want: claim.Want, Need: claim.Need}
}
