package daemonlease

import (
	"time"

	"wardtray/config"
	"wardtray/control/membership"
	"wardtray/coordination/quota"
	"wardtray/wire"
)

// Quotas divides the tenants' quotas among the daemons that hold a lease, by the limits of the committed spec. It
// starts anew in each term.
type Quotas struct {
	tolerance quota.Tolerance
	// term is for how long a daemon's share counts, counted from its request.
	term time.Duration
	// allocator is nil until a daemon first reports in this term.
	allocator *quota.Allocator
	// limitsEpoch is the epoch of the spec whose limits the allocator has.
	limitsEpoch uint64
}

// NewQuotas returns quotas of which no share is given; tolerance is by how much the daemons together may exceed a
// quota.
func NewQuotas(tolerance quota.Tolerance, term time.Duration) *Quotas {
	return &Quotas{tolerance: tolerance, term: term}
}

// Reset forgets every share, as a new head does; daemons report what they hold.
func (quotas *Quotas) Reset() { quotas.allocator = nil }

// Release takes back the shares of a daemon whose process has ended.
func (quotas *Quotas) Release(now time.Time, address string) {
	if quotas.allocator != nil {
		quotas.allocator.Release(now, address)
	}
}

// HandleReport answers a daemon's report of the shares that it holds; nil where there is nothing to answer. One that
// was granted no lease gets no share.
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

// refresh makes the allocator of this term where there is none yet, and sets the limits of the committed spec.
func (quotas *Quotas) refresh(now time.Time, document *wire.Document) {
	if quotas.allocator == nil {
		expected := make([]string, 0, len(document.Directory)+len(document.PreviousDirectory))
		for _, member := range membership.Join(document.Directory, document.PreviousDirectory) {
			expected = append(expected, member.Address)
		}
		quotas.allocator = quota.NewAllocator(now, quotas.term, expected)
		quotas.limitsEpoch = 0
	}
	if quotas.limitsEpoch == document.SpecEpoch || len(document.Spec) == 0 {
		return
	}
	quotas.limitsEpoch = document.SpecEpoch
	spec, err := config.Decode(document.Spec)
	if err != nil {
		return // What is committed was checked; without limits no share is given.
	}
	limits := map[string]quota.Limit{}
	for index := range spec.Tenants {
		if tenantQuota := spec.Tenants[index].Quota; tenantQuota.Limited() {
			limits[spec.Tenants[index].Name] = quotas.tolerance.Limit(tenantQuota.Rate, tenantQuota.Burst)
		}
	}
	quotas.allocator.SetLimits(now, limits)
}
