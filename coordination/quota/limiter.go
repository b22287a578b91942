package quota

import (
	"math"
	"sort"
	"sync"
	"time"
)

const (
	// demandSpan is over how long demand is averaged, and steadySpan the demand by which parts of the rate are lent.
	demandSpan = 1500 * time.Millisecond
	steadySpan = 5 * time.Second
	// horizon is for how long ahead of its demand a daemon would like to hold tokens, and sizes how many usual requests
	// beside.
	horizon = 800 * time.Millisecond
	sizes   = 1.5
	// rareSpan is the time between two requests beyond which nothing is held for the next one.
	rareSpan = 2 * time.Second
	// surplus is how many times as much as it would like a daemon keeps before it gives the rest back.
	surplus = 2.5
	// sizeWeight is how far one request moves what a usual one is taken to cost.
	sizeWeight = 0.2
	// forgottenDemand is the part of one usual request a second below which nobody is taken to ask any more.
	forgottenDemand = 0.02
	// AnswerBound is for how long the answer to a report is waited for before another one is sent in its place.
	AnswerBound = 100 * time.Millisecond
	// shortFor is for how long a tenant's requests are not held for tokens, once the issuer had too few.
	shortFor = 200 * time.Millisecond
	// usualReturn is when a refused request may come back where the daemon was lent nothing, leastReturn and mostReturn
	// bound when a refused request may come back.
	usualReturn = 300 * time.Millisecond
	leastReturn = 50 * time.Millisecond
	mostReturn  = 2 * time.Second
)

// average is a rate that fades over a span.
type average struct {
	value float64
	at    time.Time
	span  time.Duration
}

func (average *average) fade(now time.Time) {
	if passed := now.Sub(average.at); passed > 0 {
		average.value *= math.Exp(-float64(passed) / float64(average.span))
		average.at = now
	}
}

func (average *average) add(now time.Time, amount float64) {
	average.fade(now)
	average.value += amount / average.span.Seconds()
}

// share is one tenant's, at a daemon.
type share struct {
	balance, capacity, rate float64
	// silent is from when on the balance fills by itself, and until when all is void. filled is what it has filled so since
	// the last answer, up to the moment filledTo.
	silent, until, filledTo time.Time
	filled                  float64
	demand, steady          average
	// size is what a usual request costs.
	size float64
	// need is what the requests that wait take, and shortUntil when the issuer may have enough again.
	need       float64
	shortUntil time.Time
	usage      Usage
}

// Usage is what a daemon counts of one tenant, in the unit of the quota; Demand is a second.
type Usage struct {
	Used    float64 `json:"used"`
	Refused float64 `json:"refused"`
	Balance float64 `json:"balance"`
	Demand  float64 `json:"demand"`
}

// Limiter is a daemon's shares. It is safe for use by many requests at once.
type Limiter struct {
	mutex  sync.Mutex
	shares map[string]*share
	// number and asked are of the newest report, whose answer alone counts, and claimed what it said; answered tells that
	// the answer has come.
	number   uint64
	asked    time.Time
	answered bool
	claimed  map[string]TenantReport
	changed  chan struct{}
	// OnDemand holds nothing ahead of the demand: each request waits for its tokens.
	OnDemand bool
}

// NewLimiter makes a holder without shares.
func NewLimiter() *Limiter {
	return &Limiter{shares: map[string]*share{}, answered: true, changed: make(chan struct{})}
}

func (holder *Limiter) share(now time.Time, tenant string) *share {
	found := holder.shares[tenant]
	if found == nil {
		found = &share{demand: average{at: now, span: demandSpan}, steady: average{at: now, span: steadySpan}}
		holder.shares[tenant] = found
	}
	found.settle(now)
	return found
}

// settle brings a share up to a moment: it fills while the issuer is silent, and what is over is lost.
func (share *share) settle(now time.Time) {
	share.demand.fade(now)
	share.steady.fade(now)
	if now.After(share.until) {
		share.balance, share.capacity, share.rate = 0, 0, 0
		return
	}
	from := share.silent
	if share.filledTo.After(from) {
		from = share.filledTo
	}
	if now.After(from) {
		added := max(0, min(share.capacity-share.balance, share.rate*now.Sub(from).Seconds()))
		share.balance += added
		share.filled += added
		share.filledTo = now
	}
}

// want is how much the share would like to hold: nothing where requests come so rarely that what is held for them would
// lie idle, while others may need it.
func (share *share) want() float64 {
	if share.steady.value*rareSpan.Seconds() < share.size {
		return 0
	}
	return share.demand.value*horizon.Seconds() + sizes*share.size
}

// idle tells that nobody asks for this tenant any more.
func (share *share) idle() bool {
	return share.need == 0 && share.steady.value < forgottenDemand*share.size
}

// Offer notes that a request asks for so much, whether it is served or not.
func (holder *Limiter) Offer(now time.Time, tenant string, cost float64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	share := holder.share(now, tenant)
	share.demand.add(now, cost)
	share.steady.add(now, cost)
	if share.size == 0 {
		share.size = cost
	}
	share.size += sizeWeight * (cost - share.size)
}

// Take uses so much of a tenant's share; it tells whether there was as much.
func (holder *Limiter) Take(now time.Time, tenant string, cost float64) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	share := holder.share(now, tenant)
	if share.balance < cost {
		return false
	}
	share.balance -= cost
	share.usage.Used += cost
	return true
}

// Return gives back what a request took that has surely not run. What the share has no room for any more is lost, rather
// than counted twice.
func (holder *Limiter) Return(now time.Time, tenant string, cost float64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	share := holder.share(now, tenant)
	share.usage.Used -= cost
	share.balance = max(share.balance, min(share.capacity, share.balance+cost))
}

// Refused counts a request that is refused, and tells when another try may help.
func (holder *Limiter) Refused(now time.Time, tenant string, cost float64) time.Duration {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	share := holder.share(now, tenant)
	share.usage.Refused += cost
	wait := usualReturn
	if share.rate > 0 {
		wait = time.Duration((cost - share.balance) / share.rate * float64(time.Second))
	}
	return max(leastReturn, min(mostReturn, wait))
}

// Need notes that a request waits for so much, until done is called.
func (holder *Limiter) Need(now time.Time, tenant string, cost float64) (done func()) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.share(now, tenant).need += cost
	return func() {
		holder.mutex.Lock()
		defer holder.mutex.Unlock()
		holder.shares[tenant].need -= cost
	}
}

// Short tells whether the issuer had less for this tenant a moment ago than was needed, so that waiting is of no use.
func (holder *Limiter) Short(now time.Time, tenant string) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return now.Before(holder.share(now, tenant).shortUntil)
}

// Awaits tells whether the answer to a report is still to be expected, so that another one would only make it void.
func (holder *Limiter) Awaits(now time.Time) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return !holder.answered && now.Sub(holder.asked) < AnswerBound
}

// Blank tells whether the holder has never had anything to do with any tenant.
func (holder *Limiter) Blank() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return len(holder.shares) == 0
}

// Changed gives a channel that is closed when the next answer has come.
func (holder *Limiter) Changed() <-chan struct{} {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.changed
}

// TenantReports gives the report that goes out under a number, greater than all before it. Answers to earlier ones are void
// from then on.
func (holder *Limiter) TenantReports(now time.Time, number uint64) []TenantReport {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.number, holder.asked, holder.claimed = number, now, map[string]TenantReport{}
	claims := make([]TenantReport, 0, len(holder.shares))
	for tenant := range holder.shares {
		share := holder.share(now, tenant)
		if share.idle() && share.balance == 0 && share.rate == 0 && share.capacity == 0 {
			continue
		}
		claim := share.claim(tenant, holder.OnDemand)
		holder.claimed[tenant] = claim
		claims = append(claims, claim)
	}
	// A report without claims has no answer.
	holder.answered = len(claims) == 0
	sort.Slice(claims, func(left, right int) bool { return claims[left].Tenant < claims[right].Tenant })
	return claims
}

// claim reports the share, and gives back what it has no use for.
func (share *share) claim(tenant string, onDemand bool) TenantReport {
	want := share.want()
	if onDemand {
		want = 0
	}
	keep := surplus * want
	if share.idle() {
		keep, share.capacity, share.rate = 0, 0, 0
	}
	returned := max(0, share.balance-max(keep, share.need))
	share.balance -= returned
	return TenantReport{Tenant: tenant, Balance: share.balance, Capacity: share.capacity, Rate: share.rate, Filled: share.filled, Returned: returned,
		Demand: share.steady.value, Want: want, Need: max(0, share.need-share.balance)}
}

// Granted takes the answer to the report with a number, which counts for a term from when that went out; it tells
// whether it was the newest report's.
func (holder *Limiter) Granted(now time.Time, number uint64, term time.Duration, shares []Share) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if number != holder.number || holder.answered {
		return false
	}
	holder.answered = true
	for _, given := range shares {
		holder.share(now, given.Tenant).granted(now, given, holder.claimed[given.Tenant], holder.asked.Add(term))
	}
	close(holder.changed)
	holder.changed = make(chan struct{})
	return true
}

// granted takes one share of an answer to a claim.
func (share *share) granted(now time.Time, given Share, claim TenantReport, until time.Time) {
	// What has filled or was given back since the report counts up to the new capacity only: the issuer reckons with no
	// more.
	share.balance = min(share.balance, max(claim.Balance, given.Capacity)) + given.Tokens
	share.capacity, share.rate = given.Capacity, given.Rate
	share.silent, share.until, share.filledTo = now.Add(silence), until, now
	// What has filled since the report is told with the next one.
	share.filled -= claim.Filled
	share.shortUntil = time.Time{}
	if given.Tokens < claim.Need {
		share.shortUntil = now.Add(shortFor)
	}
}

// Usage gives what was counted of each tenant.
func (holder *Limiter) Usage(now time.Time) map[string]Usage {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	counted := make(map[string]Usage, len(holder.shares))
	for tenant := range holder.shares {
		share := holder.share(now, tenant)
		usage := share.usage
		usage.Balance, usage.Demand = share.balance, share.demand.value
		counted[tenant] = usage
	}
	return counted
}
