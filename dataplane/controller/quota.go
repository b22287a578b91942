package controller

import (
	"time"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

// quotaReporter reports the daemon's shares of the tenants' quotas to the head, and applies the shares that the head
// grants.
type quotaReporter struct {
	// limiter holds the shares; nil if quotas are not used.
	limiter       *quota.Limiter
	configuration *configuration
	leases        *leases
}

// newQuotaReporter returns a reporter of the shares in a limiter.
func newQuotaReporter(limiter *quota.Limiter, configuration *configuration, leases *leases) *quotaReporter {
	return &quotaReporter{limiter: limiter, configuration: configuration, leases: leases}
}

// canReport reports whether there is a limiter and no response is pending. A report invalidates the responses to all
// earlier ones, so none is sent while a response is pending.
func (reporter *quotaReporter) canReport(now time.Time) bool {
	return reporter.limiter != nil && !reporter.limiter.AwaitsGrant(now)
}

// report returns the report for a lease request with a nonce to an address; nil if the address is not the head's or if
// no report can be sent now.
func (reporter *quotaReporter) report(now time.Time, address string, nonce uint64) *wire.QuotaReport {
	if !reporter.leases.isHead(address) || !reporter.canReport(now) {
		return nil
	}
	report := &wire.QuotaReport{}
	// A daemon that holds nothing sends an empty report: a new head waits for the reports of all daemons.
	if reporter.limiter.IsUnused() && !reporter.configuration.hasQuotas() {
		return report
	}
	for _, tenant := range reporter.limiter.Report(now, nonce) {
		report.Tenants = append(report.Tenants, tenantMessage(tenant))
	}
	return report
}

// handleGrant applies the shares in a lease response. Shares granted by a previous head are valid too: they count from
// their request, and the new head waits for their end or for this daemon's report, which invalidates them.
func (reporter *quotaReporter) handleGrant(now time.Time, response *wire.DaemonLeaseGrant) {
	if reporter.limiter == nil || response.Quota == nil {
		return
	}
	shares := make([]quota.Share, 0, len(response.Quota.Shares))
	for _, share := range response.Quota.Shares {
		shares = append(shares, quota.Share{
			Tenant:   share.Tenant,
			Tokens:   share.Tokens,
			Capacity: share.Capacity,
			Rate:     share.Rate,
		})
	}
	term := time.Duration(response.Quota.Milliseconds) * time.Millisecond
	reporter.limiter.ApplyGrant(now, response.Nonce, term, shares)
}

// tenantMessage returns the wire form of a tenant's report.
func tenantMessage(report quota.TenantReport) *wire.QuotaTenantReport {
	return &wire.QuotaTenantReport{
		Tenant:   report.Tenant,
		Balance:  report.Balance,
		Capacity: report.Capacity,
		Rate:     report.Rate,
		Filled:   report.Filled,
		Returned: report.Returned,
		Demand:   report.Demand,
		Want:     report.Want,
		Need:     report.Need,
	}
}
