package quota

import "time"

const (
	// expiryMargin is what is waited beyond the end of a share, for clocks that drift.
	expiryMargin = 100 * time.Millisecond
	// expireInterval is how often the allocations of a tenant are searched for daemons that are silent.
	expireInterval = 250 * time.Millisecond
	// maximumDaemons bounds the holders of one tenant's shares.
	maximumDaemons = 8192
)

// Allocator divides the limits of tenants among daemons for as long as its process is the head.
type Allocator struct {
	term      time.Duration
	startedAt time.Time
	// reported are the daemons that have reported to this allocator; once all that are expected have, none can hold
	// anything that it does not know of, and complete is set.
	reported map[string]bool
	expected map[string]bool
	complete bool
	accounts map[string]*account
	// tenants are those that each daemon named in its last report.
	tenants map[string][]string
}

// NewAllocator returns the allocator of a process that has just become head, whose predecessor grants nothing any more.
// Shares count for a term from the report that they answer. expected are the daemons that may hold shares of the
// predecessor's.
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

// Term returns for how long a share counts, from the report that it answers.
func (allocator *Allocator) Term() time.Duration { return allocator.term }

// SetLimits sets the limits of all tenants; one that is not named has none, and needs no shares.
func (allocator *Allocator) SetLimits(now time.Time, limits map[string]Limit) {
	allocator.updateComplete(now)
	for tenant, limit := range limits {
		account := allocator.accounts[tenant]
		if account == nil {
			account = newAccount(now)
			// A tenant that is new while this allocator knows of all shares has used nothing yet.
			if allocator.complete {
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

// updateComplete notes when no daemon can hold a share any more that this allocator does not know of: each has
// reported, or whatever was granted before this allocator started has expired. From then on tenants have their bursts.
func (allocator *Allocator) updateComplete(now time.Time) {
	if allocator.complete {
		return
	}
	expired := now.Sub(allocator.startedAt) >= allocator.term+expiryMargin
	if !expired && !allocator.allReported() {
		return
	}
	allocator.complete = true
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

// Release handles that a daemon's process has ended, and with it all that it held.
func (allocator *Allocator) Release(now time.Time, daemon string) {
	allocator.reported[daemon] = true
	allocator.updateComplete(now)
	allocator.reclaim(now, daemon, map[string]bool{})
	delete(allocator.tenants, daemon)
}

// reclaim ends a daemon's allocations of the tenants that it no longer names.
func (allocator *Allocator) reclaim(now time.Time, daemon string, named map[string]bool) {
	for _, tenant := range allocator.tenants[daemon] {
		if account := allocator.accounts[tenant]; account != nil && !named[tenant] {
			allocator.refill(now, account)
			account.remove(daemon)
		}
	}
}

// Report handles what a daemon holds, whose reports cover all its tenants, and returns the shares that it is granted.
func (allocator *Allocator) Report(now time.Time, daemon string, reports []TenantReport) []Share {
	allocator.reported[daemon] = true
	allocator.updateComplete(now)
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

// grant handles one report and returns the share that is granted in response.
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
	share := account.share(report, allocator.complete)
	account.balance -= share.Tokens
	// Until it reports again, a daemon may hold what it reported or what it is granted.
	account.replace(daemon, &allocation{
		rate:      max(report.Rate, share.Rate),
		exposure:  max(report.Capacity, share.Capacity, report.Balance+share.Tokens),
		demand:    report.Demand,
		expiresAt: now.Add(allocator.term + expiryMargin),
		chargedTo: now.Add(silence),
	})
	account.clamp()
	return share
}

// expire looks for silent daemons: the bucket is charged for what they may fill, and expired allocations are removed.
func (allocator *Allocator) expire(now time.Time, account *account) {
	if now.Sub(account.lastExpire) < expireInterval {
		return
	}
	account.lastExpire = now
	allocator.refill(now, account)
	for daemon, allocation := range account.allocations {
		account.charge(now, allocation)
		if now.After(allocation.expiresAt) {
			account.remove(daemon)
		}
	}
}

// refill fills the bucket up to a moment.
func (allocator *Allocator) refill(now time.Time, account *account) {
	elapsed := now.Sub(account.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	account.filledAt = now
	rate := account.limit.Rate
	if !allocator.complete {
		// The others still fill by their parts of the rate.
		rate = min(rate, account.rate)
	}
	account.balance += rate * elapsed
	account.clamp()
}
