package controller

import (
	"time"

	"wardtray/coordination/quota"
	"wardtray/wire"
)

// quotaReporter reports to the head what this daemon holds of the tenants' quotas, and receives its shares of them.
type quotaReporter struct {
	// limiter holds the shares; nil if the daemon has none.
	limiter       *quota.Limiter
	configuration *configuration
	leases        *leases
}

// newQuotaReporter returns a reporter of the limiter's shares.
func newQuotaReporter(limiter *quota.Limiter, configuration *configuration, leases *leases) *quotaReporter {
	return &quotaReporter{limiter: limiter, configuration: configuration, leases: leases}
}

// canReport reports whether there are shares to report on and no response is expected. A report invalidates the
// responses to all earlier ones, so none is sent while one is expected.
func (reporter *quotaReporter) canReport(now time.Time) bool {
	return reporter.limiter != nil && !reporter.limiter.AwaitsGrant(now)
}

// report returns the report to be sent to an address with a nonce; nil if the address is not the head's or if no report
// can be sent now.
func (reporter *quotaReporter) report(now time.Time, address string, nonce uint64) *wire.QuotaReport {
	if !reporter.leases.isHead(address) || !reporter.canReport(now) {
		return nil
	}
	report := &wire.QuotaReport{}
	// That this daemon holds nothing is worth reporting too: a new head waits to know what all daemons hold.
	if reporter.limiter.IsUnused() && !reporter.configuration.hasQuotas() {
		return report
	}
	for _, tenant := range reporter.limiter.Report(now, nonce) {
		report.Tenants = append(report.Tenants, tenantMessage(tenant))
	}
	return report
}

// handleGrant handles the shares in a lease response. Those of a previous head count as well: they are valid from their
// request on, and the new head waits for their end or for this daemon's report, which invalidates them.
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

// tenantMessage returns the wire form of what is reported of one tenant.
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
