package quota

import "time"

const (
	// lentRate and lentCapacity are the parts of a limit that daemons may hold ahead of their demand. The rest is for
	// requests larger than what a daemon holds and for daemons whose demand has just begun.
	lentRate     = 0.95
	lentCapacity = 0.6
	// reserve is the part of the capacity that the backend keeps for requests that wait.
	reserve = 0.1
	// expiryMargin is what is waited beyond the end of a share, for clocks that drift.
	expiryMargin = 100 * time.Millisecond
	// oversize is the part of the capacity at which the backend serves a need larger than it can ever hold.
	oversize = 0.25
	// sweepEvery is how often shares are looked through for daemons that are silent.
	sweepEvery = 250 * time.Millisecond
	// maximumDaemons bounds the holders of one tenant's shares.
	maximumDaemons = 8192
)

// lent is what one daemon may hold of a tenant, at most.
type lent struct {
	// rate and exposure bound the rate and the balance; exposure includes what its capacity lets it fill up to.
	rate, exposure, demand float64
	// silent is from when on it may fill its balance itself, and until when all that it holds is void. taken is what was
	// taken off the backend for that, up to the moment takenTo.
	silent, until, takenTo time.Time
	taken                  float64
}

// account is one tenant's, at the issuer.
type account struct {
	limit Limit
	// balance is the backend's, as of at, which filled at a rate of at most the limit's.
	balance float64
	at      time.Time
	lent    map[string]*lent
	// rate, exposure and demand are the sums over all that is lent.
	rate, exposure, demand float64
	swept                  time.Time
}

// Allocator divides the limits of tenants among daemons for as long as its host leads.
type Allocator struct {
	term    time.Duration
	started time.Time
	// reported are the daemons that have reported to this issuer; once all that are expected have, none can hold anything
	// that it does not know of.
	reported map[string]bool
	expected map[string]bool
	complete bool
	accounts map[string]*account
	// tenants are those that each daemon named in its last report.
	tenants map[string][]string
	// Answers counts the answers to claims, and Short those that gave less than was needed.
	Answers, Short uint64
}

// NewAllocator makes the issuer of a host that has just begun to lead, whose predecessor issues nothing any more. Shares
// count for a term from the question they answer. expected are the daemons that may hold shares of the predecessor's.
func NewAllocator(now time.Time, term time.Duration, expected []string) *Allocator {
	issuer := &Allocator{term: term, started: now, reported: map[string]bool{}, expected: map[string]bool{}, accounts: map[string]*account{}, tenants: map[string][]string{}}
	for _, daemon := range expected {
		issuer.expected[daemon] = true
	}
	return issuer
}

// Term is for how long a share counts, from the question that it answers.
func (issuer *Allocator) Term() time.Duration { return issuer.term }

// SetLimits takes the limits of all tenants; one that is not named has none, and needs no shares.
func (issuer *Allocator) SetLimits(now time.Time, limits map[string]Limit) {
	for tenant, limit := range limits {
		known := issuer.accounts[tenant]
		if known == nil {
			known = &account{lent: map[string]*lent{}, at: now}
			// A tenant that is new while this issuer knows of all shares has used nothing yet.
			if issuer.knowsAll(now) {
				known.balance = limit.Capacity
			}
			issuer.accounts[tenant] = known
		}
		issuer.fill(now, known)
		known.limit = limit
		known.cap()
	}
	for tenant, known := range issuer.accounts {
		if _, named := limits[tenant]; !named {
			issuer.fill(now, known)
			known.limit = Limit{}
		}
	}
}

// knowsAll tells whether no daemon can hold a share that this issuer does not know of.
func (issuer *Allocator) knowsAll(now time.Time) bool {
	if issuer.complete {
		return true
	}
	issuer.complete = now.Sub(issuer.started) >= issuer.term+expiryMargin || issuer.allReported()
	if issuer.complete {
		for _, known := range issuer.accounts {
			known.balance += known.limit.Start
			known.cap()
		}
	}
	return issuer.complete
}

func (issuer *Allocator) allReported() bool {
	for daemon := range issuer.expected {
		if !issuer.reported[daemon] {
			return false
		}
	}
	return true
}

// Release takes in that a daemon's process has ended, and with it all that it held.
func (issuer *Allocator) Release(now time.Time, daemon string) {
	issuer.reported[daemon] = true
	issuer.takeBack(now, daemon, map[string]bool{})
	delete(issuer.tenants, daemon)
}

// takeBack ends what a daemon was lent of the tenants that it no longer names.
func (issuer *Allocator) takeBack(now time.Time, daemon string, named map[string]bool) {
	for _, tenant := range issuer.tenants[daemon] {
		if known := issuer.accounts[tenant]; known != nil && !named[tenant] {
			issuer.fill(now, known)
			known.forget(daemon)
		}
	}
}

// Report takes in what a daemon holds, whose claims cover all its tenants, and answers what it holds from now on.
func (issuer *Allocator) Report(now time.Time, daemon string, claims []TenantReport) []Share {
	issuer.reported[daemon] = true
	named := make(map[string]bool, len(claims))
	for _, claim := range claims {
		named[claim.Tenant] = true
	}
	issuer.takeBack(now, daemon, named)
	tenants := make([]string, 0, len(claims))
	shares := make([]Share, 0, len(claims))
	for _, claim := range claims {
		tenants = append(tenants, claim.Tenant)
		if known := issuer.accounts[claim.Tenant]; known != nil {
			shares = append(shares, issuer.answer(now, known, daemon, claim))
		}
	}
	issuer.tenants[daemon] = tenants
	return shares
}

// answer takes one claim and gives the share that follows.
func (issuer *Allocator) answer(now time.Time, known *account, daemon string, claim TenantReport) Share {
	issuer.sweep(now, known)
	issuer.fill(now, known)
	if known.lent[daemon] == nil && len(known.lent) >= maximumDaemons {
		return Share{Tenant: claim.Tenant}
	}
	known.reconcile(now, daemon, claim)
	known.forget(daemon)
	known.add(daemon, &lent{rate: claim.Rate, exposure: max(claim.Capacity, claim.Balance), demand: claim.Demand})
	known.balance += claim.Returned
	known.cap()
	share := known.share(claim, issuer.knowsAll(now))
	known.balance -= share.Tokens
	issuer.Answers++
	if share.Tokens < claim.Need {
		issuer.Short++
	}
	// Until it reports again, a daemon may hold what it reported or what it is answered.
	known.forget(daemon)
	known.add(daemon, &lent{rate: max(claim.Rate, share.Rate), exposure: max(claim.Capacity, share.Capacity, claim.Balance+share.Tokens),
		demand: claim.Demand, silent: now.Add(silence), takenTo: now.Add(silence), until: now.Add(issuer.term + expiryMargin)})
	known.cap()
	return share
}

// share is what a daemon holds from now on. Where not all shares are known, nothing is added to what it holds but tokens
// of the backend. What is taken from it is free for others once it reports without it.
func (known *account) share(claim TenantReport, knowsAll bool) Share {
	share := Share{Tenant: claim.Tenant}
	if known.limit.Rate <= 0 {
		return share
	}
	part := 0.0
	if known.demand > 0 {
		part = claim.Demand / known.demand
	}
	share.Rate, share.Capacity = part*lentRate*known.limit.Rate, part*lentCapacity*known.limit.Capacity
	spareRate, spareCapacity := 0.0, 0.0
	if knowsAll {
		spareRate = max(0, lentRate*known.limit.Rate-known.rate)
		spareCapacity = max(0, lentCapacity*known.limit.Capacity-known.exposure)
	}
	share.Tokens = known.draw(claim.Need)
	if share.Tokens >= claim.Need {
		ahead := min(claim.Want, share.Capacity) - claim.Balance - share.Tokens + claim.Need
		share.Tokens += max(0, min(ahead, known.balance-share.Tokens-reserve*known.limit.Capacity))
	}
	share.Rate = min(share.Rate, claim.Rate+spareRate)
	share.Capacity = min(share.Capacity, claim.Capacity+spareCapacity)
	return share
}

// draw gives as much of a need as the backend has.
func (known *account) draw(need float64) float64 {
	// One request larger than the whole capacity could never be served; it waits for a full backend and leaves a debt.
	if need > known.limit.Capacity && known.balance >= oversize*known.limit.Capacity {
		return need
	}
	return max(0, min(need, known.balance))
}

// reconcile settles what a daemon has filled by itself with what was taken off the backend for it.
func (known *account) reconcile(now time.Time, daemon string, claim TenantReport) {
	held := known.lent[daemon]
	if held == nil {
		return
	}
	known.take(now, held)
	known.balance += held.taken - claim.Filled
}

// take takes off the backend what a silent daemon may have filled by now.
func (known *account) take(now time.Time, held *lent) {
	if held.until.Before(now) {
		now = held.until
	}
	if now.After(held.takenTo) {
		filled := held.rate * now.Sub(held.takenTo).Seconds()
		known.balance -= filled
		held.taken += filled
		held.takenTo = now
	}
}

// sweep looks for silent daemons: what they may fill is taken off the backend, and what is over is taken back.
func (issuer *Allocator) sweep(now time.Time, known *account) {
	if now.Sub(known.swept) < sweepEvery {
		return
	}
	known.swept = now
	issuer.fill(now, known)
	for daemon, held := range known.lent {
		known.take(now, held)
		if now.After(held.until) {
			known.forget(daemon)
		}
	}
}

// fill brings the backend up to a moment.
func (issuer *Allocator) fill(now time.Time, known *account) {
	passed := now.Sub(known.at).Seconds()
	if passed <= 0 {
		return
	}
	known.at = now
	rate := known.limit.Rate
	if !issuer.knowsAll(now) {
		// The others still fill by their parts of the rate.
		rate = min(rate, known.rate)
	}
	known.balance += rate * passed
	known.cap()
}

// cap keeps the backend and all that is lent within the capacity.
func (known *account) cap() {
	known.balance = min(known.balance, max(0, known.limit.Capacity-known.exposure))
}

func (known *account) add(daemon string, held *lent) {
	known.lent[daemon] = held
	known.rate += held.rate
	known.exposure += held.exposure
	known.demand += held.demand
}

func (known *account) forget(daemon string) {
	held := known.lent[daemon]
	if held == nil {
		return
	}
	delete(known.lent, daemon)
	known.rate -= held.rate
	known.exposure -= held.exposure
	known.demand -= held.demand
	if len(known.lent) == 0 {
		// Sums of many fractions end near nothing, not at it.
		known.rate, known.exposure, known.demand = 0, 0, 0
	}
}
