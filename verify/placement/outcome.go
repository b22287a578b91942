package placement

import (
	"slices"
	"time"
)

// allRoutes is the key under which the outcome of all routes together is kept.
const allRoutes = ""

// byRoute has the outcomes of one measurement: one for each route and one, under allRoutes, for all of them.
type byRoute[Outcome any] map[string]*Outcome

// update changes the outcome of a route and that of all.
func (outcomes byRoute[Outcome]) update(route string, change func(outcome *Outcome)) {
	change(outcomes[route])
	change(outcomes[allRoutes])
}

// routeTitle returns how the tables print a key of byRoute.
func routeTitle(route string) string {
	if route == allRoutes {
		return "all"
	}
	return route
}

// quantile returns the value below which such a part (0 to 1) of the latencies lies; 0 where there is none. It sorts
// them.
func quantile(latencies []time.Duration, part float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(part*float64(len(latencies))))]
}

// ratio returns the part that a count is of a whole; of nothing, it is of one.
func ratio(count, whole int) float64 { return float64(count) / float64(max(1, whole)) }
