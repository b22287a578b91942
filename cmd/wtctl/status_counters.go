package main

import (
	"maps"
	"slices"

	"wardtray/control/operator"
	"wardtray/metrics"
)

// routeTotals returns the counters of each route, summed over the daemons. Counters that are not printed stay zero.
func routeTotals(fleet operator.FleetStatus) map[string]*metrics.RouteMetrics {
	totals := map[string]*metrics.RouteMetrics{}
	for _, data := range fleet.Daemons {
		for name, route := range data.Routes {
			total := totals[name]
			if total == nil {
				total = &metrics.RouteMetrics{Outcomes: map[string]uint64{}}
				totals[name] = total
			}
			total.Requests += route.Requests
			total.Completed += route.Completed
			total.RefusedEarly += route.RefusedEarly
			total.RefusedLate += route.RefusedLate
			total.Retries += route.Retries
			total.CachedTokens += route.CachedTokens
			total.PromptTokens += route.PromptTokens
			total.CrossZoneBytes += route.CrossZoneBytes
			for outcome, count := range route.Outcomes {
				total.Outcomes[outcome] += count
			}
		}
	}
	return totals
}

// cachedPercentage returns the percentage of prompt tokens that daemons assumed to be in the runners' prefix caches.
func cachedPercentage(route *metrics.RouteMetrics) float64 {
	if route.PromptTokens == 0 {
		return 0
	}
	return 100 * float64(route.CachedTokens) / float64(route.PromptTokens)
}

// showCounters prints the counters of each route over all daemons, and those of each process's connections.
func showCounters(table *table, fleet operator.FleetStatus) {
	totals := routeTotals(fleet)
	table.printf("LANE\tREQUESTS\tDONE\tREFUSED EARLY\tREFUSED LATE\tREPEATS\tTOKENS TAKEN AS HELD\t" +
		"BYTES ACROSS ZONES\tENDS\n")
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		total := totals[name]
		table.printf("%s\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%d\t%v\n", name, total.Requests, total.Completed, total.RefusedEarly,
			total.RefusedLate, total.Retries, cachedPercentage(total), total.CrossZoneBytes, total.Outcomes)
	}
	table.printf("PROCESS\tSENT\tDROPPED\tBAD FRAMES\tBYTES OUT\tOF THESE TO OTHER ZONES\n")
	for _, core := range fleet.ControlNodes {
		showTransport(table, core.Address, core.Wire)
	}
	for _, data := range fleet.Daemons {
		showTransport(table, data.Address, data.Wire)
	}
}

// showTransport prints the counters of a process's connections to other processes, by the names that it reports.
func showTransport(table *table, address string, counters map[string]any) {
	table.printf("%s\t%v\t%v\t%v\t%v\t%v\n", address, counters["sent"], counters["dropped"], counters["bad_frames"],
		counters["bytes_out"], counters["bytes_other_zone"])
}
