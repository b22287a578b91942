package quota

import "time"

const (
	// demandSpan is over how long demand is averaged, and steadySpan the demand by which parts of the rate are
	// allocated.
	demandSpan = 1500 * time.Millisecond
	steadySpan = 5 * time.Second
	// horizon is for how long ahead of its demand a daemon would like to hold tokens, and requestsAhead how many usual
	// requests besides.
	horizon       = 800 * time.Millisecond
	requestsAhead = 1.5
	// rareSpan is the time between two requests beyond which nothing is held for the next one.
	rareSpan = 2 * time.Second
	// surplus is how many times as much as it would like a daemon keeps before it returns the rest.
	surplus = 2.5
	// requestCostWeight is the weight of one request in the average cost of a usual one.
	requestCostWeight = 0.2
	// idleDemand is the fraction of one usual request a second below which a tenant counts as idle.
	idleDemand = 0.02
	// shortageDuration is for how long a tenant's requests do not wait for tokens, once the allocator had too few.
	shortageDuration = 200 * time.Millisecond
	// defaultRetryAfter is when a rejected request may be retried where the daemon was allocated nothing;
	// minimumRetryAfter and maximumRetryAfter bound when it may be retried.
	defaultRetryAfter = 300 * time.Millisecond
	minimumRetryAfter = 50 * time.Millisecond
	maximumRetryAfter = 2 * time.Second
)

// tenantShare is one tenant's share at a daemon.
type tenantShare struct {
	balance, capacity, rate float64
	// fillsAt is from when on the balance fills by itself, and expiresAt from when on all is void. filled is what it
	// has filled so since the last grant, up to the moment filledTo.
	fillsAt, expiresAt, filledTo time.Time
	filled                       float64
	demand, steadyDemand         average
	// requestCost is what a usual request costs.
	requestCost float64
	// waiting is what the waiting requests take, and shortUntil when the allocator may have enough again.
	waiting    float64
	shortUntil time.Time
	usage      Usage
}

func newTenantShare(now time.Time) *tenantShare {
	return &tenantShare{
		demand:       average{updatedAt: now, span: demandSpan},
		steadyDemand: average{updatedAt: now, span: steadySpan},
	}
}

// advance brings a share up to a moment: it fills while the allocator is silent, and becomes void when it expires.
func (share *tenantShare) advance(now time.Time) {
	share.demand.decay(now)
	share.steadyDemand.decay(now)
	if now.After(share.expiresAt) {
		share.balance, share.capacity, share.rate = 0, 0, 0
		return
	}
	from := share.fillsAt
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

// recordDemand counts the cost of a request, whether it is served or not.
func (share *tenantShare) recordDemand(now time.Time, cost float64) {
	share.demand.add(now, cost)
	share.steadyDemand.add(now, cost)
	if share.requestCost == 0 {
		share.requestCost = cost
	}
	share.requestCost += requestCostWeight * (cost - share.requestCost)
}

// take takes the cost of a request from the balance and reports whether there was as much.
func (share *tenantShare) take(cost float64) bool {
	if share.balance < cost {
		return false
	}
	share.balance -= cost
	share.usage.Used += cost
	return true
}

// refund returns what was taken for a request. What the share has no room for any more is lost, rather than counted
// twice.
func (share *tenantShare) refund(cost float64) {
	share.usage.Used -= cost
	share.balance = max(share.balance, min(share.capacity, share.balance+cost))
}

// reject counts a rejected request and returns when a retry may succeed.
func (share *tenantShare) reject(cost float64) (retryAfter time.Duration) {
	share.usage.Refused += cost
	retryAfter = defaultRetryAfter
	if share.rate > 0 {
		retryAfter = time.Duration((cost - share.balance) / share.rate * float64(time.Second))
	}
	return max(minimumRetryAfter, min(maximumRetryAfter, retryAfter))
}

// want returns how much the share would like to hold: nothing where requests are so rare that what is held for them
// would be unused, while others may need it.
func (share *tenantShare) want() float64 {
	if share.steadyDemand.value*rareSpan.Seconds() < share.requestCost {
		return 0
	}
	return share.demand.value*horizon.Seconds() + requestsAhead*share.requestCost
}

// idle reports whether nothing is asked of this tenant any more.
func (share *tenantShare) idle() bool {
	return share.waiting == 0 && share.steadyDemand.value < idleDemand*share.requestCost
}

// empty reports whether the share holds nothing that a report would have to name.
func (share *tenantShare) empty() bool {
	return share.balance == 0 && share.rate == 0 && share.capacity == 0
}

// report reports the share, and gives up what it has no use for.
func (share *tenantShare) report(tenant string, onDemand bool) TenantReport {
	want := share.want()
	if onDemand {
		want = 0
	}
	retained := surplus * want
	if share.idle() {
		retained, share.capacity, share.rate = 0, 0, 0
	}
	returned := max(0, share.balance-max(retained, share.waiting))
	share.balance -= returned
	return TenantReport{
		Tenant: tenant, Balance: share.balance, Capacity: share.capacity, Rate: share.rate,
		Filled: share.filled, Returned: returned,
		Demand: share.steadyDemand.value, Want: want, Need: max(0, share.waiting-share.balance),
	}
}

// apply adds what was granted in response to a report.
func (share *tenantShare) apply(now time.Time, granted Share, report TenantReport, expiresAt time.Time) {
	// What has filled or was refunded since the report counts up to the new capacity only: the allocator assumes no
	// more.
	share.balance = min(share.balance, max(report.Balance, granted.Capacity)) + granted.Tokens
	share.capacity, share.rate = granted.Capacity, granted.Rate
	share.fillsAt, share.expiresAt, share.filledTo = now.Add(silence), expiresAt, now
	// What has filled since the report goes into the next one.
	share.filled -= report.Filled
	share.shortUntil = time.Time{}
	if granted.Tokens < report.Need {
		share.shortUntil = now.Add(shortageDuration)
	}
}
