package placement

import (
	"math/rand"
	"sort"

	"wardtray/balancer/scheduler"
)

// two takes the better of two drawn by lot.
func two(value func(scored scheduler.ScoredCandidate) float64) scheduler.Picker {
	return func(_ scheduler.Requirements, scoredCandidates []scheduler.ScoredCandidate, random *rand.Rand) int {
		best, drawn := -1, 0
		for _, place := range random.Perm(len(scoredCandidates)) {
			if scoredCandidates[place].Saturated || drawn == 2 {
				continue
			}
			drawn++
			if best < 0 || value(scoredCandidates[place]) > value(scoredCandidates[best]) {
				best = place
			}
		}
		return best
	}
}

// Choices are the baselines; any other name is wardtray's own choice.
var Choices = map[string]scheduler.Picker{
	"random":       Ways["random"],
	"least-loaded": Ways["least-loaded"],
	"two-choices":  two(func(scored scheduler.ScoredCandidate) float64 { return -scored.Candidate.Load }),
	"index-only":   Ways["index-only"],
}

// ChoiceNames returns the ways of choosing in order, wardtray's first.
func ChoiceNames() []string { return append([]string{"wardtray"}, sortedNames(Choices)...) }

// DeploymentNames returns the deployments in order.
func DeploymentNames() []string { return sortedNames(Deployments) }

func sortedNames[Value any](table map[string]Value) (names []string) {
	for name := range table {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
