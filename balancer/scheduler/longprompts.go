package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/load"
)

const (
	// longPromptFactor is how many times the least latency target of a backend a prompt takes to read that counts as
	// long. Half of it earned the same, twice of it less (docs/placement.md).
	longPromptFactor = 1.0
	// reserveFactor is how many times the runners that long prompts need are reserved for them.
	reserveFactor = 1.3
	// quarterHysteresis is how far, in quarters, what is needed may differ from what is reserved.
	quarterHysteresis = 0.65
	// maxQuarters is how many quarters of the runners are reserved for long prompts at most.
	maxQuarters = 2.0
)

// longPromptPolicy decides which prompts are long, and how many runners are reserved for them. Long prompts go there
// first and short ones last; it is a preference in the scores, not a wall.
type longPromptPolicy struct {
	// reservedQuarters of the runners are reserved for long prompts.
	reservedQuarters int
	// latencyTargets are those of the routes seen.
	latencyTargets map[string]time.Duration
}

func newLongPromptPolicy() longPromptPolicy {
	return longPromptPolicy{reservedQuarters: 1, latencyTargets: map[string]time.Duration{}}
}

// recordTarget takes in the latency target of a route; 0 is none.
func (policy *longPromptPolicy) recordTarget(route string, target time.Duration) {
	if target > 0 {
		policy.latencyTargets[route] = target
	}
}

// isLong reports whether a prompt takes so many seconds to read that short ones behind it would miss their latency
// target. target is that of the prompt's own route, in place of the recorded one; 0 is none.
func (policy *longPromptPolicy) isLong(prefill float64, route string, target time.Duration) bool {
	least := time.Duration(math.MaxInt64)
	if target > 0 {
		least = target
	}
	for recorded, recordedTarget := range policy.latencyTargets {
		if recorded != route || target <= 0 {
			least = min(least, recordedTarget)
		}
	}
	return prefill > longPromptFactor*least.Seconds()
}

// reserve returns how many quarters of the runners are reserved, where long prompts take this part of all reading time.
//
// It changes in quarters, and slowly, because prefixes move when runners change sides, and each daemon's picture of the
// traffic is its own. So coarse a measure is the same at nearly all of them.
func (policy *longPromptPolicy) reserve(longRatio float64) int {
	needed := 4 * reserveFactor * longRatio
	if math.Abs(needed-float64(policy.reservedQuarters)) > quarterHysteresis {
		policy.reservedQuarters = int(min(maxQuarters, math.Round(needed)))
	}
	return policy.reservedQuarters
}

// longRunners returns the runners to which long prompts go first; all daemons agree on them by the runners' IDs.
func longRunners(runners []load.Runner, quarters int) map[string]bool {
	long := map[string]bool{}
	if len(runners) < minFleet {
		return long
	}
	const anyPrefix = 0
	for _, runner := range rendezvousOrder(runners, anyPrefix)[:(len(runners)*quarters+2)/4] {
		long[runner] = true
	}
	return long
}
