// Package quota enforces limits on what tenants use over many daemons together, without a request to a central place
// for each use: a distributed rate limiter of token buckets.
//
// An Allocator, at the head, has a bucket of tokens for each tenant, which fills at the tenant's rate. A Limiter, at
// each daemon, reports every moment what it holds and what is asked of it, and is granted tokens ahead of its demand;
// a request that finds too few waits for the grant that answers a report which is sent at once. What the daemons hold
// and what the bucket holds never add up to more than the tenant's capacity, so in any span of time no more can be
// used than the capacity and what the rate yields in that span, whichever processes are cut off, frozen or killed
// meanwhile.
//
// With its tokens each daemon is allocated a part of the rate, by which its own tokens fill up while the allocator is
// silent: the parts add up to no more than the rate, and the allocator charges its bucket for what silent daemons may
// have filled.
//
// # Contract
//
// A report makes the grants for all earlier ones void, and each grant counts from its report, for a term. A daemon
// that falls silent keeps what it holds for that term and loses it then; only after that, by the allocator's clock
// and with a margin, is it allocated to others. Clocks need not agree, but must run at about the same rate. A new
// allocator knows nothing of what its predecessor allocated: until every expected daemon has reported, or a term has
// passed, its bucket fills only by the rates of those that have reported. The caller guarantees that there is at most
// one allocator at a time: it needs the head's lease.
//
// An Allocator is a pure state machine and not safe for concurrent use. A Limiter reads no clock and does no I/O, and
// is safe for concurrent use by many requests. docs/quotas.md compares this with other ways.
package quota

import "time"

// Limit is what one tenant may use over all daemons together, in tokens or requests.
type Limit struct {
	// Rate is how much a second, and Capacity how much at once. Start is what the bucket of a new allocator begins
	// with, once no daemon can hold anything that it does not know of.
	Rate, Capacity, Start float64
}

// Tolerance is by how much a platform lets the daemons together exceed a limit.
type Tolerance struct {
	// Window is the span of time over which use is counted. Within it a fraction Excess of the limit and Slack more are
	// tolerated.
	Window time.Duration
	Excess float64
	Slack  float64
}

const (
	// capacityTolerance is the fraction of the tolerance that is granted as capacity. The rest stays for what is
	// charged on one side of a takeover or a freeze and sent on the other.
	capacityTolerance = 0.5
	// startTolerance is the fraction with which a new allocator begins, so that two of them in one window keep the
	// bound. Without it nothing would be served for a while after all machines lost their power at once.
	startTolerance = 0.2
	// silence is after what time without a grant a daemon's tokens fill by its own part of the rate.
	silence = 700 * time.Millisecond
)

// Limit returns the limit of a tenant with a rate and a burst under the tolerance.
func (tolerance Tolerance) Limit(rate, burst float64) Limit {
	exceeding := (rate*tolerance.Window.Seconds()+burst)*tolerance.Excess + tolerance.Slack
	return Limit{Rate: rate, Capacity: burst + capacityTolerance*exceeding, Start: startTolerance * exceeding}
}

// TenantReport is what a daemon reports of one tenant.
type TenantReport struct {
	Tenant string
	// Balance is what it holds, which fills up to Capacity at Rate while the allocator is silent. Filled is what it has
	// filled so since the last grant, and Returned what it has just given up.
	Balance, Capacity, Rate, Filled, Returned float64
	// Demand is how much is asked of it a second, Want how much it would like to hold for that, and Need how much more
	// than its balance the waiting requests take.
	Demand, Want, Need float64
}

// Share is what an allocator grants in response to a report of one tenant.
type Share struct {
	Tenant string
	// Tokens are added to the balance, which from now on fills up to Capacity at Rate while the allocator is silent.
	Tokens, Capacity, Rate float64
}
