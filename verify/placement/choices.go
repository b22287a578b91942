package placement

import (
	"math/rand"
	"sort"

	"wardtray/balancer/scheduler"
)

// two takes the better of two drawn by lot.
func two(worth func(quote scheduler.Quote) float64) scheduler.Choice {
	return func(_ scheduler.Bid, quotes []scheduler.Quote, random *rand.Rand) int {
		best, drawn := -1, 0
		for _, place := range random.Perm(len(quotes)) {
			if quotes[place].Full || drawn == 2 {
				continue
			}
			drawn++
			if best < 0 || worth(quotes[place]) > worth(quotes[best]) {
				best = place
			}
		}
		return best
	}
}

// Choices are the baselines; any other name is wardtray's own choice.
var Choices = map[string]scheduler.Choice{
	"random":       Ways["random"],
	"least-loaded": Ways["least-loaded"],
	"two-choices":  two(func(quote scheduler.Quote) float64 { return -quote.Offer.Load }),
	"index-only":   Ways["index-only"],
}

// ChoiceNames gives the ways of choosing in order, wardtray's first.
func ChoiceNames() []string { return append([]string{"wardtray"}, sortedNames(Choices)...) }

// DeploymentNames gives the deployments in order.
func DeploymentNames() []string { return sortedNames(Deployments) }

func sortedNames[Value any](table map[string]Value) (names []string) {
	for name := range table {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
