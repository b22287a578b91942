package histories

import (
	"time"
)

// The bounds of the brief, each with what belongs to measuring rather than to the fleet.
const (
	DrainingBound = 3 * time.Second
	SpecBound     = 2 * time.Second
	ZoneBound     = 5 * time.Second
	ReturnBound   = 12 * time.Second
	RetryWindow   = 10 * time.Second
	RetryShare    = 0.2
	// RetryAllowance is the brief's "plus a little": one unlucky request at each of a few daemons.
	RetryAllowance = 3
	// WarmUpAllowance is how much more than its true room a cold runner may get: daemons that have not heard of
	// one another yet may each send one.
	WarmUpAllowance = 2
	// OverdueBound is how long after a loss could be known a final answer may come.
	OverdueBound = 2 * time.Second
	// DeadlineAllowance is how much after its deadline an answer may come: a daemon's own work and the way. Clocks may
	// be wrong by one part in ClockErrorDivisor.
	DeadlineAllowance = 100 * time.Millisecond
	ClockErrorDivisor = 50
	faultShadow       = 12 * time.Second
	// DoubtBound is for how long after a fault of a daemon a request may be in doubt.
	DoubtBound = 13 * time.Minute
	// FirstDoubtBound is for how long after the last of the daemons of all zones were killed one that is sent for the
	// first time may be.
	FirstDoubtBound = 1500 * time.Millisecond
	// transitTime is for how long bytes may be on their way.
	transitTime = 1500 * time.Millisecond
	// resetTransitTime is how long news of a reset may be on its way.
	resetTransitTime = 100 * time.Millisecond
	// DepartureBound is how long after its client has left a request may reach a runner, or be worked on.
	DepartureBound = 500 * time.Millisecond
	// ReportStaleness is how old a daemon's knowledge of runners may be: reports 0.7 s old, read four times a second
	// and smoothed.
	ReportStaleness = 2 * time.Second
	// AmpleShare is the free part of a backend beside which no request can be refused for want of room. It is
	// the slack in which routes may go beyond their concurrency limit.
	AmpleShare = 0.25
)

// Rules names every check, in the order of the brief.
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
	"resumed",
	"past-deadline",
	"left-requester",
}

// timed are the rules with a bound in seconds, which a machine that stands still for a while can break.
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
	"past-deadline":  true,
	"left-requester": true,
}

// Timeless leaves out the violations of rules that are measured in seconds.
func Timeless(violations []Violation) []Violation {
	var kept []Violation
	for _, violation := range violations {
		if !timed[violation.Rule] {
			kept = append(kept, violation)
		}
	}
	return kept
}
