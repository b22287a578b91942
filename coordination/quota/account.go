package quota

import "time"

const (
	// allocatedRate and allocatedCapacity are the fractions of a limit that daemons may hold ahead of their demand. The
	// rest is for requests larger than a daemon's balance and for daemons whose demand has just begun.
	allocatedRate     = 0.95
	allocatedCapacity = 0.6
	// reservedCapacity is the fraction of the capacity that the bucket keeps for waiting requests.
	reservedCapacity = 0.1
	// oversizeThreshold is the fraction of the capacity at which the bucket serves a need larger than the capacity.
	oversizeThreshold = 0.25
)

// allocation is an upper bound of one daemon's share of a tenant's limit.
type allocation struct {
	// rate bounds the daemon's refill rate. exposure bounds its balance, including the refill up to its capacity.
	rate, exposure, demand float64
	// expiresAt is the time at which the daemon's share ends.
	expiresAt time.Time
	// charged is the amount charged to the bucket for what the daemon may have refilled by itself until chargedTo.
	charged   float64
	chargedTo time.Time
}

// account is the allocator's state for one tenant: the bucket and the daemons' allocations.
type account struct {
	limit Limit
	// balance is the number of tokens in the bucket at filledAt, refilled until then at no more than the limit's rate.
	// It is negative while the bucket is in debt.
	balance     float64
	filledAt    time.Time
	allocations map[string]*allocation
	// rate, exposure and demand are the sums over all allocations.
	rate, exposure, demand float64
	lastExpiry             time.Time
}

func newAccount(now time.Time) *account {
	return &account{allocations: map[string]*allocation{}, filledAt: now}
}

// share returns the grant for a daemon's report. While not all outstanding shares are known, the daemon gets tokens
// from the bucket, but no more rate or capacity than it reported. Rate and capacity that the grant takes away from the
// daemon become free for others once it reports without them.
func (account *account) share(report TenantReport, allSharesKnown bool) Share {
	share := Share{Tenant: report.Tenant}
	if account.limit.Rate <= 0 {
		return share
	}
	demandFraction := 0.0
	if account.demand > 0 {
		demandFraction = report.Demand / account.demand
	}
	share.Rate = demandFraction * allocatedRate * account.limit.Rate
	share.Capacity = demandFraction * allocatedCapacity * account.limit.Capacity
	spareRate, spareCapacity := 0.0, 0.0
	if allSharesKnown {
		spareRate = max(0, allocatedRate*account.limit.Rate-account.rate)
		spareCapacity = max(0, allocatedCapacity*account.limit.Capacity-account.exposure)
	}
	share.Tokens = account.draw(report.Need)
	if share.Tokens >= report.Need {
		ahead := min(report.Want, share.Capacity) - report.Balance - share.Tokens + report.Need
		unreserved := account.balance - share.Tokens - reservedCapacity*account.limit.Capacity
		share.Tokens += max(0, min(ahead, unreserved))
	}
	share.Rate = min(share.Rate, report.Rate+spareRate)
	share.Capacity = min(share.Capacity, report.Capacity+spareCapacity)
	return share
}

// draw returns the part of a need that the bucket can cover.
func (account *account) draw(need float64) float64 {
	// A request larger than the capacity would never find enough tokens. It is served once the bucket has reached
	// oversizeThreshold, and leaves a debt.
	if need > account.limit.Capacity && account.balance >= oversizeThreshold*account.limit.Capacity {
		return need
	}
	return max(0, min(need, account.balance))
}

// reconcile replaces the bucket's charge for a daemon's own refill by the amount that the daemon actually refilled.
func (account *account) reconcile(now time.Time, daemon string, report TenantReport) {
	allocation := account.allocations[daemon]
	if allocation == nil {
		return
	}
	account.charge(now, allocation)
	account.balance += allocation.charged - report.Filled
}

// charge charges the bucket for the tokens that a silent daemon may have refilled by now.
func (account *account) charge(now time.Time, allocation *allocation) {
	if allocation.expiresAt.Before(now) {
		now = allocation.expiresAt
	}
	if now.After(allocation.chargedTo) {
		filled := allocation.rate * now.Sub(allocation.chargedTo).Seconds()
		account.balance -= filled
		allocation.charged += filled
		allocation.chargedTo = now
	}
}

// clamp limits the bucket so that it and all allocations together stay within the capacity.
func (account *account) clamp() {
	account.balance = min(account.balance, max(0, account.limit.Capacity-account.exposure))
}

// replace replaces a daemon's allocation.
func (account *account) replace(daemon string, allocation *allocation) {
	account.remove(daemon)
	account.allocations[daemon] = allocation
	account.rate += allocation.rate
	account.exposure += allocation.exposure
	account.demand += allocation.demand
}

func (account *account) remove(daemon string) {
	allocation := account.allocations[daemon]
	if allocation == nil {
		return
	}
	delete(account.allocations, daemon)
	account.rate -= allocation.rate
	account.exposure -= allocation.exposure
	account.demand -= allocation.demand
	if len(account.allocations) == 0 {
		// Rounding errors of the sums would otherwise remain.
		account.rate, account.exposure, account.demand = 0, 0, 0
	}
}
