// Package quota enforces limits on the total use of each tenant across many daemons, without a request to a central
// service for each use: a distributed rate limiter of token buckets.
//
// An Allocator, at the head of the chain, holds a token bucket for each tenant, which refills at the tenant's rate. A
// Limiter, at each daemon, frequently reports its balance and its demand, and is granted tokens ahead of the demand. A
// request that finds too few tokens triggers a report at once and waits for its grant. The balances of the daemons and
// of the bucket never add up to more than the tenant's capacity. So the use in any span of time is at most the capacity
// plus what the rate yields in that span, whichever processes are cut off, frozen or killed meanwhile.
//
// With its tokens each daemon is allocated a part of the rate, at which its own balance refills while the allocator is
// silent. The parts add up to no more than the rate, and the allocator charges its bucket for the tokens that silent
// daemons may have added this way.
//
// # Contract
//
// A report invalidates the grants for all earlier reports. A grant is valid for a term from when its report was sent. A
// daemon that falls silent keeps its share until that term ends and then loses it; only after that, by the allocator's
// clock and with a margin, is the share allocated to others. Clocks need not agree, but must run at about the same
// rate. A new allocator doesn't know what its predecessor allocated: until every expected daemon has reported, or a
// term has passed, its bucket refills only at the sum of the rates of the daemons that have reported. The caller
// guarantees that there is at most one allocator at a time: the allocator's process must hold the lease of the head.
//
// An Allocator is a pure state machine and not safe for concurrent use. A Limiter reads no clock and does no I/O, and
// is safe for concurrent use. docs/quotas.md compares this design with alternatives.
package quota

import "time"

// Limit bounds the use of one tenant across all daemons, in tokens or requests.
type Limit struct {
	// Rate is the refill rate per second, and Capacity the size of the bucket. Start is added to the bucket of a new
	// allocator once no daemon can hold a share that this allocator doesn't know of.
	Rate, Capacity, Start float64
}

// Tolerance is the amount by which a platform allows all daemons together to exceed a limit.
type Tolerance struct {
	// Window is the span of time over which use is counted. In each window, use may exceed the limit by the fraction
	// Excess of the limit plus Slack, in the unit of the limit.
	Window time.Duration
	Excess float64
	Slack  float64
}

const (
	// capacityTolerance is the fraction of the tolerance that is added to the capacity. The rest covers requests that
	// are charged before a takeover or a freeze and sent after it.
	capacityTolerance = 0.5
	// startTolerance is the fraction of the tolerance that a new allocator starts with; it is small enough that two
	// takeovers in one window stay within the bound. Without it nothing would be served for a while after all machines
	// lost power at once.
	startTolerance = 0.2
	// silenceTimeout is the time without a grant after which a daemon's balance refills at its own part of the rate.
	silenceTimeout = 700 * time.Millisecond
)

// Limit returns the limit of a tenant with this rate (per second) and burst, including the tolerance.
func (tolerance Tolerance) Limit(rate, burst float64) Limit {
	allowedExcess := (rate*tolerance.Window.Seconds()+burst)*tolerance.Excess + tolerance.Slack
	return Limit{Rate: rate, Capacity: burst + capacityTolerance*allowedExcess, Start: startTolerance * allowedExcess}
}

// TenantReport is a daemon's report on one tenant.
type TenantReport struct {
	Tenant string
	// Balance is the daemon's tokens, which refill up to Capacity at Rate (per second) while the allocator is silent.
	// Filled is the number of tokens refilled this way since the last grant, and Returned the number that this report
	// returns to the bucket.
	Balance, Capacity, Rate, Filled, Returned float64
	// Demand is the requested amount per second, Want the balance that the daemon would like to hold for it, and Need
	// the amount that the waiting requests require beyond the balance.
	Demand, Want, Need float64
}

// Share is the allocator's grant in response to a TenantReport.
type Share struct {
	Tenant string
	// Tokens are added to the balance. From then on the balance refills up to Capacity at Rate (per second) while the
	// allocator is silent.
	Tokens, Capacity, Rate float64
}
