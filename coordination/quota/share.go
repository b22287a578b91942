package quota

import "time"

const (
	// demandSpan is the time constant of the average demand from which the wanted balance is computed, steadyDemandSpan
	// that of the average demand by which the rate is divided among daemons.
	demandSpan       = 1500 * time.Millisecond
	steadyDemandSpan = 5 * time.Second
	// The wanted balance of a daemon covers the demand of the next horizon and requestsAhead further average requests.
	horizon       = 800 * time.Millisecond
	requestsAhead = 1.5
	// rareRequestInterval is the average interval between requests above which no tokens are held for the next one.
	rareRequestInterval = 2 * time.Second
	// surplusFactor is the multiple of the wanted balance above which a daemon returns tokens.
	surplusFactor = 2.5
	// requestCostWeight is the weight of the newest request in the moving average of the cost.
	requestCostWeight = 0.2
	// idleDemand is the demand, in average requests per second, below which a tenant counts as idle.
	idleDemand = 0.02
	// shortageDuration is the period after a grant of fewer tokens than needed during which the tenant's requests don't
	// wait for tokens.
	shortageDuration = 200 * time.Millisecond
	// defaultRetryAfter is the retry delay of a refused request where the daemon has no part of the rate;
	// minimumRetryAfter and maximumRetryAfter bound the computed delay.
	defaultRetryAfter = 300 * time.Millisecond
	minimumRetryAfter = 50 * time.Millisecond
	maximumRetryAfter = 2 * time.Second
)

// tenantShare is a daemon's share of one tenant's quota.
type tenantShare struct {
	balance, capacity, rate float64
	// From fillsAt on the balance refills at rate; at expiresAt the share ends. filled is the number of tokens refilled
	// until filledTo and not yet reconciled by a grant.
	fillsAt, expiresAt, filledTo time.Time
	filled                       float64
	demand, steadyDemand         average
	// requestCost is the moving average of the cost of a request.
	requestCost float64
	// waiting is the total cost of the waiting requests. Before shortUntil no request waits, since the allocator
	// recently had too few tokens.
	waiting    float64
	shortUntil time.Time
	usage      Usage
}

func newTenantShare(now time.Time) *tenantShare {
	return &tenantShare{
		demand:       average{updatedAt: now, span: demandSpan},
		steadyDemand: average{updatedAt: now, span: steadyDemandSpan},
	}
}

// advance updates a share to now: it refills while the allocator is silent, and is cleared when it expires.
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

// recordDemand adds the cost of a request to the demand, whether the request is served or not.
func (share *tenantShare) recordDemand(now time.Time, cost float64) {
	share.demand.add(now, cost)
	share.steadyDemand.add(now, cost)
	if share.requestCost == 0 {
		share.requestCost = cost
	}
	share.requestCost += requestCostWeight * (cost - share.requestCost)
}

// take deducts the cost of a request from the balance if the balance covers it, and reports whether it did.
func (share *tenantShare) take(cost float64) bool {
	if share.balance < cost {
		return false
	}
	share.balance -= cost
	share.usage.Used += cost
	return true
}

// refund returns the cost of a request to the balance. The part that exceeds the capacity is lost: the allocator
// assumes that the daemon holds no more, so it may have allocated that part to others.
func (share *tenantShare) refund(cost float64) {
	share.usage.Used -= cost
	share.balance = max(share.balance, min(share.capacity, share.balance+cost))
}

// refuse counts a refused request and returns the delay after which a retry may succeed.
func (share *tenantShare) refuse(cost float64) (retryAfter time.Duration) {
	share.usage.Refused += cost
	retryAfter = defaultRetryAfter
	if share.rate > 0 {
		retryAfter = time.Duration((cost - share.balance) / share.rate * float64(time.Second))
	}
	return max(minimumRetryAfter, min(maximumRetryAfter, retryAfter))
}

// want returns the balance that the share would like to hold. It is 0 where requests are so rare that tokens held for
// them would lie unused while other daemons may need them.
func (share *tenantShare) want() float64 {
	if share.steadyDemand.value*rareRequestInterval.Seconds() < share.requestCost {
		return 0
	}
	return share.demand.value*horizon.Seconds() + requestsAhead*share.requestCost
}

// idle reports whether the tenant has no waiting requests and negligible demand.
func (share *tenantShare) idle() bool {
	return share.waiting == 0 && share.steadyDemand.value < idleDemand*share.requestCost
}

// empty reports whether the share has neither balance, rate nor capacity, and so need not be reported.
func (share *tenantShare) empty() bool {
	return share.balance == 0 && share.rate == 0 && share.capacity == 0
}

// report returns the share's report and takes the tokens that it returns to the bucket off the balance.
func (share *tenantShare) report(tenant string, onDemand bool) TenantReport {
	want := share.want()
	if onDemand {
		want = 0
	}
	retained := surplusFactor * want
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

// apply applies the grant for a report.
func (share *tenantShare) apply(now time.Time, granted Share, report TenantReport, expiresAt time.Time) {
	// Tokens refilled or refunded since the report count only up to the new capacity, because the allocator assumes
	// that the daemon holds no more.
	share.balance = min(share.balance, max(report.Balance, granted.Capacity)) + granted.Tokens
	share.capacity, share.rate = granted.Capacity, granted.Rate
	share.fillsAt, share.expiresAt, share.filledTo = now.Add(silenceTimeout), expiresAt, now
	// Tokens refilled since the report are part of the next report.
	share.filled -= report.Filled
	share.shortUntil = time.Time{}
	if granted.Tokens < report.Need {
		share.shortUntil = now.Add(shortageDuration)
	}
}
