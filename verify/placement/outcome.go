package placement

import (
	"slices"
	"time"
)

// allRoutes is the key of the outcome of all routes together.
const allRoutes = ""

// byRoute holds the outcomes of one simulation by route and, under allRoutes, of all routes together.
type byRoute[Outcome any] map[string]*Outcome

// update applies a change to the outcome of a route and to that of all routes.
func (outcomes byRoute[Outcome]) update(route string, change func(outcome *Outcome)) {
	change(outcomes[route])
	change(outcomes[allRoutes])
}

// routeTitle returns the title of a key of byRoute in the tables.
func routeTitle(route string) string {
	if route == allRoutes {
		return "all"
	}
	return route
}

// quantile returns the value below which a fraction (0 to 1) of the latencies lies, or 0 if there are none. It sorts
// the latencies.
func quantile(latencies []time.Duration, fraction float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(fraction*float64(len(latencies))))]
}

// ratio returns count divided by whole, or by 1 if whole is 0.
func ratio(count, whole int) float64 { return float64(count) / float64(max(1, whole)) }
