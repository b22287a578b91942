package daemonlease

import (
	"time"

	"wardtray/config"
	"wardtray/control/membership"
	"wardtray/coordination/quota"
	"wardtray/wire"
)

// Quotas divides the tenants' quotas among the daemons that hold a lease, by the limits of the committed configuration.
// Each new term clears it (Reset).
type Quotas struct {
	tolerance quota.Tolerance
	// shareDuration is the time for which a daemon's share is valid, counted from its request.
	shareDuration time.Duration
	// allocator is nil until a daemon first reports in this term.
	allocator *quota.Allocator
	// limitsEpoch is the epoch of the configuration whose limits the allocator has.
	limitsEpoch uint64
}

// NewQuotas returns quotas without any granted share. tolerance is the amount by which the daemons together may exceed
// a quota, shareDuration the time for which a share is valid.
func NewQuotas(tolerance quota.Tolerance, shareDuration time.Duration) *Quotas {
	return &Quotas{tolerance: tolerance, shareDuration: shareDuration}
}

// Reset discards all shares at the start of a term; after that the daemons report the shares that they hold.
func (quotas *Quotas) Reset() { quotas.allocator = nil }

// Release takes back the shares of a daemon whose process has ended.
func (quotas *Quotas) Release(now time.Time, address string) {
	if quotas.allocator != nil {
		quotas.allocator.Release(now, address)
	}
}

// HandleReport returns the reply to a daemon's report of the shares that it holds; nil if there is none to send. A
// daemon gets shares only if it was granted a lease (isLeased).
func (quotas *Quotas) HandleReport(now time.Time, document *wire.Document, address string, report *wire.QuotaReport,
	isLeased bool) *wire.QuotaGrant {
	quotas.refresh(now, document)
	if len(report.Tenants) == 0 {
		quotas.allocator.Release(now, address)
		return nil
	}
	if !isLeased {
		return nil
	}
	grant := &wire.QuotaGrant{Milliseconds: uint32(quotas.allocator.Term().Milliseconds())}
	for _, share := range quotas.allocator.Report(now, address, tenantReports(report)) {
		grant.Shares = append(grant.Shares, &wire.QuotaShare{Tenant: share.Tenant, Tokens: share.Tokens,
			Capacity: share.Capacity, Rate: share.Rate})
	}
	return grant
}

func tenantReports(report *wire.QuotaReport) []quota.TenantReport {
	reports := make([]quota.TenantReport, 0, len(report.Tenants))
	for _, tenant := range report.Tenants {
		reports = append(reports, quota.TenantReport{Tenant: tenant.Tenant, Balance: tenant.Balance,
			Capacity: tenant.Capacity, Rate: tenant.Rate, Filled: tenant.Filled, Returned: tenant.Returned,
			Demand: tenant.Demand, Want: tenant.Want, Need: tenant.Need})
	}
	return reports
}

// refresh creates the allocator of this term if there is none yet, and sets the limits of the committed configuration.
func (quotas *Quotas) refresh(now time.Time, document *wire.Document) {
	if quotas.allocator == nil {
		expected := make([]string, 0, len(document.Directory)+len(document.PreviousDirectory))
		for _, member := range membership.Join(document.Directory, document.PreviousDirectory) {
			expected = append(expected, member.Address)
		}
		quotas.allocator = quota.NewAllocator(now, quotas.shareDuration, expected)
		quotas.limitsEpoch = 0
	}
	if quotas.limitsEpoch == document.SpecEpoch || len(document.Spec) == 0 {
		return
	}
	quotas.limitsEpoch = document.SpecEpoch
	spec, err := config.Decode(document.Spec)
	if err != nil {
		return // A committed configuration has been validated; without limits no share is granted.
	}
	limits := map[string]quota.Limit{}
	for index := range spec.Tenants {
		if tenantQuota := spec.Tenants[index].Quota; tenantQuota.Limited() {
			limits[spec.Tenants[index].Name] = quotas.tolerance.Limit(tenantQuota.Rate, tenantQuota.Burst)
		}
	}
	quotas.allocator.SetLimits(now, limits)
}
