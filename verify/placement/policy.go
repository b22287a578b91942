package placement

import (
	"maps"
	"math/rand"
	"slices"

	"wardtray/balancer/scheduler"
)

// wardtrayPolicy is the name of the product's policy; all others are baselines.
const wardtrayPolicy = "wardtray"

// policies holds the compared policies of choosing a runner, by the name in the tables.
var policies = map[string]scheduler.Picker{
	wardtrayPolicy: scheduler.Sample,
	"random":       bestOf(everyCandidate, randomValue),
	"least-loaded": bestOf(everyCandidate, lowLoad),
	"two-choices":  bestOf(2, lowLoad),
	"index-only":   bestOf(everyCandidate, cachedTokens),
}

// slotPolicies lists the policies that Table compares, in the order of its lines.
var slotPolicies = []string{wardtrayPolicy, "index-only", "least-loaded", "random"}

// PolicyNames returns the names of all policies: the product's first, then the baselines in alphabetical order.
func PolicyNames() []string {
	names := []string{wardtrayPolicy}
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		if name != wardtrayPolicy {
			names = append(names, name)
		}
	}
	return names
}

// candidateValue rates a candidate for a policy, which chooses the greatest value.
type candidateValue func(scored scheduler.ScoredCandidate, random *rand.Rand) float64

// everyCandidate makes bestOf compare all candidates.
const everyCandidate = 0

// bestOf returns a policy that draws up to limit candidates that are not saturated at random (everyCandidate: all), and
// chooses the one with the greatest value; among equal values, the one drawn first.
func bestOf(limit int, value candidateValue) scheduler.Picker {
	return func(_ scheduler.Requirements, candidates []scheduler.ScoredCandidate, random *rand.Rand) int {
		best, greatest, compared := -1, 0.0, 0
		for _, index := range random.Perm(len(candidates)) {
			if candidates[index].Saturated {
				continue
			}
			if here := value(candidates[index], random); best < 0 || here > greatest {
				best, greatest = index, here
			}
			if compared++; compared == limit {
				break
			}
		}
		return best
	}
}

func randomValue(_ scheduler.ScoredCandidate, random *rand.Rand) float64 { return random.Float64() }

func lowLoad(scored scheduler.ScoredCandidate, _ *rand.Rand) float64 { return -scored.Candidate.Load }

func cachedTokens(scored scheduler.ScoredCandidate, _ *rand.Rand) float64 {
	return float64(scored.Candidate.CachedTokens)
}
