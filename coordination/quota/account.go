package quota

import "time"

const (
	// allocatedRate and allocatedCapacity are the fractions of a limit that daemons may hold ahead of their demand. The
	// rest is for requests larger than what a daemon holds and for daemons whose demand has just begun.
	allocatedRate     = 0.95
	allocatedCapacity = 0.6
	// reservedCapacity is the fraction of the capacity that the bucket keeps for waiting requests.
	reservedCapacity = 0.1
	// oversizeThreshold is the fraction of the capacity at which the bucket serves a need larger than it can ever hold.
	oversizeThreshold = 0.25
)

// allocation is what one daemon may hold of a tenant, at most.
type allocation struct {
	// rate and exposure bound the rate and the balance; exposure includes what its capacity lets it fill up to.
	rate, exposure, demand float64
	// expiresAt is from when on all that it holds is void.
	expiresAt time.Time
	// charged is what the bucket was charged for what the daemon may have filled by itself, up to the moment chargedTo.
	charged   float64
	chargedTo time.Time
}

// account is one tenant's, at the allocator: its bucket and the allocations of the daemons.
type account struct {
	limit Limit
	// balance is the bucket's, as of filledAt, which filled at a rate of at most the limit's.
	balance     float64
	filledAt    time.Time
	allocations map[string]*allocation
	// rate, exposure and demand are the sums over all allocations.
	rate, exposure, demand float64
	lastExpire             time.Time
}

func newAccount(now time.Time) *account {
	return &account{allocations: map[string]*allocation{}, filledAt: now}
}

// share returns what a daemon is granted. Where not all shares are known, nothing is added to what it holds but
// tokens of the bucket. What it gives up is free for others once it reports without it.
func (account *account) share(report TenantReport, knowsAll bool) Share {
	share := Share{Tenant: report.Tenant}
	if account.limit.Rate <= 0 {
		return share
	}
	part := 0.0
	if account.demand > 0 {
		part = report.Demand / account.demand
	}
	share.Rate = part * allocatedRate * account.limit.Rate
	share.Capacity = part * allocatedCapacity * account.limit.Capacity
	spareRate, spareCapacity := 0.0, 0.0
	if knowsAll {
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

// draw returns as much of a need as the bucket has.
func (account *account) draw(need float64) float64 {
	// One request larger than the whole capacity could never be served; it waits for a full bucket and leaves a debt.
	if need > account.limit.Capacity && account.balance >= oversizeThreshold*account.limit.Capacity {
		return need
	}
	return max(0, min(need, account.balance))
}

// reconcile corrects what the bucket was charged for a daemon's own filling by what the daemon has in fact filled.
func (account *account) reconcile(now time.Time, daemon string, report TenantReport) {
	allocation := account.allocations[daemon]
	if allocation == nil {
		return
	}
	account.charge(now, allocation)
	account.balance += allocation.charged - report.Filled
}

// charge charges the bucket for what a silent daemon may have filled by now.
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

// clamp keeps the bucket and all allocations together within the capacity.
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
		// Sums of many fractions end near zero, not at it.
		account.rate, account.exposure, account.demand = 0, 0, 0
	}
}
