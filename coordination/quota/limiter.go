package quota

import (
	"sort"
	"sync"
	"time"
)

// GrantTimeout is the time limit of a limiter's wait for the grant for a report, after which it may send another
// report.
const GrantTimeout = 100 * time.Millisecond

// Usage holds a daemon's counts for one tenant, in the unit of the quota; Demand is per second.
type Usage struct {
	Used    float64 `json:"used"`
	Refused float64 `json:"refused"`
	Balance float64 `json:"balance"`
	Demand  float64 `json:"demand"`
}

// Limiter holds one daemon's shares of the tenants' quotas. It is safe for concurrent use.
type Limiter struct {
	mutex  sync.Mutex
	shares map[string]*tenantShare
	// pending is the newest report; only its grant is valid.
	pending pendingReport
	// changed is closed when the next grant arrives.
	changed chan struct{}
	// OnDemand makes the limiter hold no tokens ahead of the demand, so that each request waits for its tokens. It is
	// set before the limiter is used; the default is false.
	OnDemand bool
}

// pendingReport holds the newest report that was sent.
type pendingReport struct {
	number  uint64
	sentAt  time.Time
	reports map[string]TenantReport
	// answered is set once the grant has arrived, and from the start where the allocator doesn't answer.
	answered bool
}

// NewLimiter returns a limiter without shares.
func NewLimiter() *Limiter {
	return &Limiter{
		shares: map[string]*tenantShare{}, pending: pendingReport{answered: true}, changed: make(chan struct{}),
	}
}

// share returns a tenant's share, advanced to now. The caller holds the mutex.
func (limiter *Limiter) share(now time.Time, tenant string) *tenantShare {
	share := limiter.shares[tenant]
	if share == nil {
		share = newTenantShare(now)
		limiter.shares[tenant] = share
	}
	share.advance(now)
	return share
}

// RecordDemand adds the cost of a request to the tenant's demand, whether the request is served or not.
func (limiter *Limiter) RecordDemand(now time.Time, tenant string, cost float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.share(now, tenant).recordDemand(now, cost)
}

// Take deducts a cost from a tenant's balance if the balance covers it, and reports whether it did.
func (limiter *Limiter) Take(now time.Time, tenant string, cost float64) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.share(now, tenant).take(cost)
}

// Refund returns the cost of a request that has certainly not run to the tenant's balance.
func (limiter *Limiter) Refund(now time.Time, tenant string, cost float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.share(now, tenant).refund(cost)
}

// Refuse counts a refused request and returns the delay after which a retry may succeed.
func (limiter *Limiter) Refuse(now time.Time, tenant string, cost float64) (retryAfter time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.share(now, tenant).refuse(cost)
}

// AddWaiting adds the cost of a waiting request to the tenant's need until done is called.
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

// InShortage reports whether the allocator granted this tenant less than it needed within the last shortageDuration, so
// that waiting for tokens is useless.
func (limiter *Limiter) InShortage(now time.Time, tenant string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return now.Before(limiter.share(now, tenant).shortUntil)
}

// AwaitsGrant reports whether a grant may still arrive, which another report would invalidate.
func (limiter *Limiter) AwaitsGrant(now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return !limiter.pending.answered && now.Sub(limiter.pending.sentAt) < GrantTimeout
}

// IsUnused reports whether the limiter has never been used for any tenant.
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

// Report returns the report to send under a number, ordered by tenant. The number is greater than those of all earlier
// reports, whose grants are invalid from then on. The allocator doesn't answer an empty report.
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

// ApplyGrant applies the grant for the report with this number. The shares are valid for a term from the moment at
// which that report was sent. Only the grant for the newest report is applied, and only once; ApplyGrant reports
// whether this one was.
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

// Usage returns the usage of each tenant.
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
