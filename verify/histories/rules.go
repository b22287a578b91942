package histories

import (
	"time"
)

// The bounds of the rules. Each includes an allowance for the accuracy of the observations.
const (
	// The first four bounds are maximum times. DrainingBound: from the listing of a runner as draining until it receives
	// no more work. SpecBound: from the acknowledgement of a spec until no work follows an older one. ZoneBound: from the
	// acknowledgement of a zone's closing until the zone receives no more work. RecoveryBound: from the return of all
	// machines until the fleet serves.
	DrainingBound = 3 * time.Second
	SpecBound     = 2 * time.Second
	ZoneBound     = 5 * time.Second
	RecoveryBound = 12 * time.Second
	RetryWindow   = 10 * time.Second
	RetryShare    = 0.2
	// RetryAllowance is the number of retries allowed beyond RetryShare: one request that fails at each of a few daemons.
	RetryAllowance = 3
	// WarmUpAllowance is the number of requests that a cold runner may receive beyond its capacity: daemons that have not
	// exchanged their loads yet may each send one.
	WarmUpAllowance = 2
	// OverdueBound is the maximum time between the moment at which a loss could be known and the final answer.
	OverdueBound = 2 * time.Second
	// DeadlineAllowance is the maximum time by which an answer may arrive after its deadline, for the daemon's processing
	// and the network.
	// Clocks may deviate by one part in ClockErrorDivisor.
	DeadlineAllowance = 100 * time.Millisecond
	ClockErrorDivisor = 50
	// faultExcusePeriod is the time after the end of a fault during which its consequences are excused.
	faultExcusePeriod = 12 * time.Second
	// DoubtBound is the maximum time after a fault of a daemon at which a request may be refused as possibly executed.
	DoubtBound = 13 * time.Minute
	// FirstDoubtBound is the same bound for a client's first attempt after daemons of every zone were killed, counted from
	// the last of these kills.
	FirstDoubtBound = 1500 * time.Millisecond
	// transitTime is the maximum time for which bytes may be in transit.
	transitTime = 1500 * time.Millisecond
	// resetTransitTime is the maximum time for which a connection reset may be in transit.
	resetTransitTime = 100 * time.Millisecond
	// DisconnectBound is the maximum time after a client's disconnect at which its request may reach a runner or still
	// run.
	DisconnectBound = 500 * time.Millisecond
	// ReportStaleness is the maximum age of a daemon's knowledge of runners: reports are 0.7 s old, read four times a
	// second and smoothed.
	ReportStaleness = 2 * time.Second
	// AmpleShare is the free share of a backend at or above which no request may be refused for lack of capacity. It
	// equals the free share that lets routes exceed their concurrency limit.
	AmpleShare = 0.25
)

// Rules lists the names of all rules, in the order in which they are checked and reported.
var Rules = []string{
	"run-twice",
	"ran-after-refusal",
	"not-whole",
	"spliced",
	"not-allowed",
	"wrong-runner",
	"leaving",
	"change-ignored",
	"slipped-back",
	"refused-in-effect",
	"two-on-one-base",
	"closed-zone",
	"repeats",
	"cold-flooded",
	"dropped",
	"forgotten",
	"down",
	"turned-away",
	"no-return-time",
	"held-back",
	"ended-early",
	"resumed",
	"past-deadline",
	"left-requester",
}

// timed are the rules with a bound in seconds, which a test machine that stalls can violate.
var timed = map[string]bool{
	"leaving":        true,
	"change-ignored": true,
	"slipped-back":   true,
	"closed-zone":    true,
	"cold-flooded":   true,
	"dropped":        true,
	"down":           true,
	"turned-away":    true,
	"held-back":      true,
	"ended-early":    true,
	"past-deadline":  true,
	"left-requester": true,
}

// ExcludeTimed returns the violations of rules that have no bound in seconds.
func ExcludeTimed(violations []Violation) []Violation {
	var kept []Violation
	for _, violation := range violations {
		if !timed[violation.Rule] {
			kept = append(kept, violation)
		}
	}
	return kept
}
