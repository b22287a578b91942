package quota

import (
	"sort"
	"sync"
	"time"
)

// GrantTimeout is for how long the grant for a report is awaited before another report is sent in its place.
const GrantTimeout = 100 * time.Millisecond

// Usage is what a daemon counts of one tenant, in the unit of the quota; Demand is a second.
type Usage struct {
	Used    float64 `json:"used"`
	Refused float64 `json:"refused"`
	Balance float64 `json:"balance"`
	Demand  float64 `json:"demand"`
}

// Limiter is a daemon's part: its shares of the tenants' quotas. It is safe for concurrent use.
type Limiter struct {
	mutex  sync.Mutex
	shares map[string]*tenantShare
	// pending is the newest report, whose grant alone counts.
	pending pendingReport
	// changed is closed when the next grant arrives.
	changed chan struct{}
	// OnDemand holds nothing ahead of the demand: each request waits for its tokens. It is set
	// before the limiter is used.
	OnDemand bool
}

// pendingReport is a report that was sent.
type pendingReport struct {
	number  uint64
	sentAt  time.Time
	reports map[string]TenantReport
	// answered is whether the grant has arrived, or none is to be expected.
	answered bool
}

// NewLimiter returns a limiter without shares.
func NewLimiter() *Limiter {
	return &Limiter{
		shares: map[string]*tenantShare{}, pending: pendingReport{answered: true}, changed: make(chan struct{}),
	}
}

// share returns a tenant's share, up to date. The mutex is held.
func (limiter *Limiter) share(now time.Time, tenant string) *tenantShare {
	share := limiter.shares[tenant]
	if share == nil {
		share = newTenantShare(now)
		limiter.shares[tenant] = share
	}
	share.advance(now)
	return share
}

// RecordDemand counts that a request asks for a cost, whether it is served or not.
func (limiter *Limiter) RecordDemand(now time.Time, tenant string, cost float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.share(now, tenant).recordDemand(now, cost)
}

// Take takes a cost from a tenant's share and reports whether there was as much.
func (limiter *Limiter) Take(now time.Time, tenant string, cost float64) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.share(now, tenant).take(cost)
}

// Refund refunds what was taken for a request that has certainly not run.
func (limiter *Limiter) Refund(now time.Time, tenant string, cost float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.share(now, tenant).refund(cost)
}

// Reject counts a rejected request, and returns when a retry may succeed.
func (limiter *Limiter) Reject(now time.Time, tenant string, cost float64) (retryAfter time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.share(now, tenant).reject(cost)
}

// AddWaiting counts a request that waits for a cost, until done is called.
func (limiter *Limiter) AddWaiting(now time.Time, tenant string, cost float64) (done func()) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.share(now, tenant).waiting += cost
	return func() {
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.shares[tenant].waiting -= cost
	}
}

// InShortage reports whether the allocator had less for this tenant a moment ago than was needed, so
// that waiting is of no use.
func (limiter *Limiter) InShortage(now time.Time, tenant string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return now.Before(limiter.share(now, tenant).shortUntil)
}

// AwaitsGrant reports whether the grant for a report is still to be expected, so that another report
// would only make it void.
func (limiter *Limiter) AwaitsGrant(now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return !limiter.pending.answered && now.Sub(limiter.pending.sentAt) < GrantTimeout
}

// IsUnused reports whether the limiter has never had anything to do with any tenant.
func (limiter *Limiter) IsUnused() bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return len(limiter.shares) == 0
}

// Changed returns a channel that is closed when the next grant arrives.
func (limiter *Limiter) Changed() <-chan struct{} {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.changed
}

// Report returns the report that is sent under a number, greater than all before it, ordered
// by tenant. Grants for earlier ones are void from then on. An empty report is not answered.
func (limiter *Limiter) Report(now time.Time, number uint64) []TenantReport {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	reports := make([]TenantReport, 0, len(limiter.shares))
	byTenant := map[string]TenantReport{}
	for tenant := range limiter.shares {
		share := limiter.share(now, tenant)
		if share.idle() && share.empty() {
			continue
		}
		report := share.report(tenant, limiter.OnDemand)
		byTenant[tenant] = report
		reports = append(reports, report)
	}
	limiter.pending = pendingReport{number: number, sentAt: now, reports: byTenant, answered: len(reports) == 0}
	sort.Slice(reports, func(left, right int) bool { return reports[left].Tenant < reports[right].Tenant })
	return reports
}

// ApplyGrant handles the grant for the report with a number, which counts for a term from when that
// was sent; it reports whether it was the newest report's.
func (limiter *Limiter) ApplyGrant(now time.Time, number uint64, term time.Duration, shares []Share) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	pending := &limiter.pending
	if number != pending.number || pending.answered {
		return false
	}
	pending.answered = true
	for _, granted := range shares {
		report := pending.reports[granted.Tenant]
		limiter.share(now, granted.Tenant).apply(now, granted, report, pending.sentAt.Add(term))
	}
	close(limiter.changed)
	limiter.changed = make(chan struct{})
	return true
}

// Usage returns what was counted of each tenant.
func (limiter *Limiter) Usage(now time.Time) map[string]Usage {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	usages := make(map[string]Usage, len(limiter.shares))
	for tenant := range limiter.shares {
		share := limiter.share(now, tenant)
		usage := share.usage
		usage.Balance, usage.Demand = share.balance, share.demand.value
		usages[tenant] = usage
	}
	return usages
}
