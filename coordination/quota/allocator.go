package quota

import "time"

const (
	// expiryMargin is added to the end of a share before it is reclaimed, because clocks drift.
	expiryMargin = 100 * time.Millisecond
	// expiryInterval is the interval between scans of a tenant's allocations for silent daemons.
	expiryInterval = 250 * time.Millisecond
	// maximumDaemons bounds the number of daemons that hold a share of one tenant's limit.
	maximumDaemons = 8192
)

// Allocator divides the limits of tenants among daemons while its process is the head of the chain.
type Allocator struct {
	term      time.Duration
	startedAt time.Time
	// reported are the daemons that have reported to this allocator. Once all expected daemons have, none can hold a
	// share that this allocator doesn't know of, and allSharesKnown is set.
	reported       map[string]bool
	expected       map[string]bool
	allSharesKnown bool
	accounts       map[string]*account
	// tenants are the tenants in each daemon's last report.
	tenants map[string][]string
}

// NewAllocator returns the allocator of a process that has just become the head of the chain; the previous head must
// have stopped granting shares. A share is valid for a term from the report that it answers. expected are the daemons
// that may hold shares from the predecessor.
func NewAllocator(now time.Time, term time.Duration, expected []string) *Allocator {
	allocator := &Allocator{
		term: term, startedAt: now, reported: map[string]bool{}, expected: map[string]bool{},
		accounts: map[string]*account{}, tenants: map[string][]string{},
	}
	for _, daemon := range expected {
		allocator.expected[daemon] = true
	}
	return allocator
}

// Term returns the period for which a share is valid, counted from the report that it answers.
func (allocator *Allocator) Term() time.Duration { return allocator.term }

// SetLimits sets the limits of all tenants. A tenant that is not named has no limit and needs no shares.
func (allocator *Allocator) SetLimits(now time.Time, limits map[string]Limit) {
	allocator.updateAllSharesKnown(now)
	for tenant, limit := range limits {
		account := allocator.accounts[tenant]
		if account == nil {
			account = newAccount(now)
			// A tenant that is added while all outstanding shares are known has used nothing yet.
			if allocator.allSharesKnown {
				account.balance = limit.Capacity
			}
			allocator.accounts[tenant] = account
		}
		allocator.refill(now, account)
		account.limit = limit
		account.clamp()
	}
	for tenant, account := range allocator.accounts {
		if _, named := limits[tenant]; !named {
			allocator.refill(now, account)
			account.limit = Limit{}
		}
	}
}

// updateAllSharesKnown sets allSharesKnown once no daemon can hold a share that this allocator doesn't know of: every
// expected daemon has reported, or all shares granted before this allocator started have expired. From then on buckets
// refill at the full rate, and each gets the start amount of its limit.
func (allocator *Allocator) updateAllSharesKnown(now time.Time) {
	if allocator.allSharesKnown {
		return
	}
	expired := now.Sub(allocator.startedAt) >= allocator.term+expiryMargin
	if !expired && !allocator.allReported() {
		return
	}
	allocator.allSharesKnown = true
	for _, account := range allocator.accounts {
		account.balance += account.limit.Start
		account.clamp()
	}
}

func (allocator *Allocator) allReported() bool {
	for daemon := range allocator.expected {
		if !allocator.reported[daemon] {
			return false
		}
	}
	return true
}

// Release reclaims all shares of a daemon whose process has ended.
func (allocator *Allocator) Release(now time.Time, daemon string) {
	allocator.reported[daemon] = true
	allocator.updateAllSharesKnown(now)
	allocator.reclaim(now, daemon, map[string]bool{})
	delete(allocator.tenants, daemon)
}

// reclaim removes a daemon's allocations for tenants that are not in named.
func (allocator *Allocator) reclaim(now time.Time, daemon string, named map[string]bool) {
	for _, tenant := range allocator.tenants[daemon] {
		if account := allocator.accounts[tenant]; account != nil && !named[tenant] {
			allocator.refill(now, account)
			account.remove(daemon)
		}
	}
}

// Report handles a daemon's reports, which cover all its tenants, and returns the shares granted to it.
func (allocator *Allocator) Report(now time.Time, daemon string, reports []TenantReport) []Share {
	allocator.reported[daemon] = true
	allocator.updateAllSharesKnown(now)
	named := make(map[string]bool, len(reports))
	for _, report := range reports {
		named[report.Tenant] = true
	}
	allocator.reclaim(now, daemon, named)
	tenants := make([]string, 0, len(reports))
	shares := make([]Share, 0, len(reports))
	for _, report := range reports {
		tenants = append(tenants, report.Tenant)
		if account := allocator.accounts[report.Tenant]; account != nil {
			shares = append(shares, allocator.grant(now, account, daemon, report))
		}
	}
	allocator.tenants[daemon] = tenants
	return shares
}

// grant handles one report and returns the share granted in response.
func (allocator *Allocator) grant(now time.Time, account *account, daemon string, report TenantReport) Share {
	allocator.expire(now, account)
	allocator.refill(now, account)
	if account.allocations[daemon] == nil && len(account.allocations) >= maximumDaemons {
		return Share{Tenant: report.Tenant}
	}
	account.reconcile(now, daemon, report)
	account.replace(daemon, &allocation{
		rate: report.Rate, exposure: max(report.Capacity, report.Balance), demand: report.Demand,
	})
	account.balance += report.Returned
	account.clamp()
	share := account.share(report, allocator.allSharesKnown)
	account.balance -= share.Tokens
	// The grant may be lost: until the daemon reports again, it may hold what it reported or what it was granted.
	account.replace(daemon, &allocation{
		rate:      max(report.Rate, share.Rate),
		exposure:  max(report.Capacity, share.Capacity, report.Balance+share.Tokens),
		demand:    report.Demand,
		expiresAt: now.Add(allocator.term + expiryMargin),
		chargedTo: now.Add(silenceTimeout),
	})
	account.clamp()
	return share
}

// expire charges the bucket for what silent daemons may have refilled, and removes expired allocations.
func (allocator *Allocator) expire(now time.Time, account *account) {
	if now.Sub(account.lastExpiry) < expiryInterval {
		return
	}
	account.lastExpiry = now
	allocator.refill(now, account)
	for daemon, allocation := range account.allocations {
		account.charge(now, allocation)
		if now.After(allocation.expiresAt) {
			account.remove(daemon)
		}
	}
}

// refill adds the tokens that the rate yielded since filledAt to the bucket.
func (allocator *Allocator) refill(now time.Time, account *account) {
	elapsed := now.Sub(account.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	account.filledAt = now
	rate := account.limit.Rate
	if !allocator.allSharesKnown {
		// Daemons that have not reported yet may still refill at their parts of the rate.
		rate = min(rate, account.rate)
	}
	account.balance += rate * elapsed
	account.clamp()
}
