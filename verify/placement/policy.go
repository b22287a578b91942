package placement

import (
	"maps"
	"math/rand"
	"slices"

	"wardtray/balancer/scheduler"
)

// wardtrayPolicy is the product's own policy; every other one is a baseline.
const wardtrayPolicy = "wardtray"

// policies are the ways of picking a runner that are compared, by the name that the tables print.
var policies = map[string]scheduler.Picker{
	wardtrayPolicy: scheduler.Sample,
	"random":       bestOf(everyCandidate, randomValue),
	"least-loaded": bestOf(everyCandidate, lowLoad),
	"two-choices":  bestOf(2, lowLoad),
	"index-only":   bestOf(everyCandidate, cachedTokens),
}

// slotPolicies are the policies that Table compares, in the order of its lines.
var slotPolicies = []string{wardtrayPolicy, "index-only", "least-loaded", "random"}

// PolicyNames returns the names of all policies: the product's first, the baselines by name.
func PolicyNames() []string {
	names := []string{wardtrayPolicy}
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		if name != wardtrayPolicy {
			names = append(names, name)
		}
	}
	return names
}

// candidateValue says how good a candidate is for a policy; the greatest is taken.
type candidateValue func(scored scheduler.ScoredCandidate, random *rand.Rand) float64

// everyCandidate lets bestOf compare all candidates.
const everyCandidate = 0

// bestOf makes a policy that draws at most limit candidates at random (everyCandidate: all), leaving out saturated
// ones, and takes the one of the greatest value; of equal ones, the one drawn first.
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
