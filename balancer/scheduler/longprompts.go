package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/load"
)

const (
	// longPromptFactor is the ratio of the prefill time of a prompt to the lowest latency target of its backend above
	// which the prompt is long. With a factor of 2 the responses have less value in total, with 0.5 the same; see
	// docs/placement.md.
	longPromptFactor = 1.0
	// reserveFactor is the ratio of the runners reserved for long prompts to the runners that these need on average.
	reserveFactor = 1.3
	// quarterHysteresis is the difference, in quarters of the runners, between the needed and the reserved runners above
	// which the reservation changes.
	quarterHysteresis = 0.65
	// maxQuarters is the maximum reservation for long prompts, in quarters of the runners.
	maxQuarters = 2.0
)

// longPromptPolicy decides which prompts are long, and how many runners are reserved for them. The reservation only
// affects the scores: long prompts prefer the reserved runners and short prompts the others, but both may use all.
type longPromptPolicy struct {
	// reservedQuarters is the number of quarters of the runners reserved for long prompts.
	reservedQuarters int
	// latencyTargets holds the latency targets of the routes seen so far.
	latencyTargets map[string]time.Duration
}

func newLongPromptPolicy() longPromptPolicy {
	return longPromptPolicy{reservedQuarters: 1, latencyTargets: map[string]time.Duration{}}
}

// recordTarget records the latency target of a route; 0 means none.
func (policy *longPromptPolicy) recordTarget(route string, target time.Duration) {
	if target > 0 {
		policy.latencyTargets[route] = target
	}
}

// isLong reports whether a prompt's prefill time, in seconds, is so long that prompts queued behind it would miss the
// lowest latency target. target replaces the recorded latency target of the prompt's own route; 0 means none.
func (policy *longPromptPolicy) isLong(prefill float64, route string, target time.Duration) bool {
	lowest := time.Duration(math.MaxInt64)
	if target > 0 {
		lowest = target
	}
	for recorded, recordedTarget := range policy.latencyTargets {
		if recorded != route || target <= 0 {
			lowest = min(lowest, recordedTarget)
		}
	}
	return prefill > longPromptFactor*lowest.Seconds()
}

// reserve returns the number of quarters of the runners to reserve if long prompts take the fraction longRatio of all
// prefill time.
//
// It changes in steps of a quarter and with hysteresis, because cached prefixes move whenever a runner changes between
// the classes, and because each daemon estimates the traffic on its own: a coarse value is the same at nearly all of
// them.
func (policy *longPromptPolicy) reserve(longRatio float64) int {
	needed := 4 * reserveFactor * longRatio
	if math.Abs(needed-float64(policy.reservedQuarters)) > quarterHysteresis {
		policy.reservedQuarters = int(min(maxQuarters, math.Round(needed)))
	}
	return policy.reservedQuarters
}

// longRunners returns the set of the runners reserved for long prompts. All daemons derive the same set from the
// runners' IDs.
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
