// Package quota enforces limits on what tenants use over many daemons together, without asking anybody for each request.
//
// One issuer keeps a backend of tokens for each tenant, which fills at the tenant's rate. Daemons report every moment what
// they hold and are asked for, and are given tokens ahead of their demand; a request that finds too few waits for the
// answer to a report that goes out at once. What the daemons hold and what the backend holds never add up to more than the
// tenant's capacity, so that in any span of time no more can be used than the capacity and what the rate yields in that
// span, whoever is cut off, frozen or killed meanwhile.
//
// With its tokens each daemon is lent a part of the rate, by which its own tokens fill up while the issuer is silent: the
// parts add up to no more than the rate, and the issuer takes off its backend what daemons that are silent may have filled.
//
// A report makes all earlier answers void, and each answer counts from its question, for a term. A daemon that falls silent
// keeps what it holds for that term and loses it then; only after that, by the issuer's clock and with a margin, is it
// given to others. A new issuer knows nothing of what its predecessor lent: until every daemon has reported, or a term has
// passed, its backend fills by the rates of those alone that have reported.
//
// The state machines do no I/O and read no clock. docs/quotas.md weighs the ways.
package quota

import "time"

// Limit is what one tenant may use over all daemons together, in tokens or requests.
type Limit struct {
	// Rate is how much a second, and Capacity how much at once. Start is what the backend of a new issuer begins with, once
	// no daemon can hold anything that it does not know of.
	Rate, Capacity, Start float64
}

// Tolerance is by how much a platform lets the daemons together exceed a limit.
type Tolerance struct {
	// Window is the span of time over which use is counted. Within it a share Excess of the limit and Slack more are
	// tolerated.
	Window time.Duration
	Excess float64
	Slack  float64
}

const (
	// usedTolerance is the part of the tolerance that is given out as capacity. The rest stays for what is charged on one
	// side of a takeover or a freeze and sent on the other.
	usedTolerance = 0.5
	// startTolerance is the part with which a new issuer begins, so that two of them in one window keep the bound. Without
	// it nothing would be served for a while after all machines lost their power at once.
	startTolerance = 0.2
	// silence is after what time without an answer a daemon's tokens fill by its own part of the rate.
	silence = 700 * time.Millisecond
)

// Limit gives the limit of a tenant with a rate and a burst under the tolerance.
func (tolerance Tolerance) Limit(rate, burst float64) Limit {
	exceeding := (rate*tolerance.Window.Seconds()+burst)*tolerance.Excess + tolerance.Slack
	return Limit{Rate: rate, Capacity: burst + usedTolerance*exceeding, Start: startTolerance * exceeding}
}

// TenantReport is what a daemon reports of one tenant.
type TenantReport struct {
	Tenant string
	// Balance is what it holds, which fills up to Capacity at Rate while the issuer is silent. Filled is what it has
	// filled so since the last answer, and Returned what it has just given up.
	Balance, Capacity, Rate, Filled, Returned float64
	// Demand is how much is asked of it a second, Want how much it would like to hold for that, and Need how much more than
	// its balance the requests that wait take.
	Demand, Want, Need float64
}

// Share is what an issuer answers to a claim.
type Share struct {
	Tenant string
	// Tokens are added to the balance, which from now on fills up to Capacity at Rate while the issuer is silent.
	Tokens, Capacity, Rate float64
}
