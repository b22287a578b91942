package histories

import (
	"sort"
	"time"

	"wardtray/config"
)

// canUseRunners reports whether a spec permits some backend to use the runners.
func (history *History) canUseRunners(catalog *config.Catalog) bool {
	for _, backend := range catalog.Backends {
		if backend.AllowsService(history.Service) && backend.Weights == history.Weights {
			return true
		}
	}
	return false
}

// leastFreeShare returns the minimum over a span of time of the share (0 to 1) of the backend's slots that were free.
// It counts zones that are open in every spec under which a daemon may act in that time. It returns 0 without samples.
func (checker *Checker) leastFreeShare(daemon string, from, until time.Time) float64 {
	least, seen := 1.0, false
	samples := checker.history.CapacitySamples
	versions := checker.specs.between(from, until, SpecBound+checker.history.isolatedFor(daemon, until))
	// The last sample before the span gives its initial state.
	after := sort.Search(len(samples), func(index int) bool { return samples[index].At.After(from) })
	for _, sample := range samples[max(0, after-1):] {
		seen = true
		least = min(least, checker.freeShare(sample, versions))
		if sample.At.After(until) {
			break
		}
	}
	if !seen {
		return 0
	}
	return least
}

// freeShare returns the free share (0 to 1) of a sample's slots, in zones that all the versions permit to use.
func (checker *Checker) freeShare(sample CapacitySample, versions []specVersion) float64 {
	free, slots := 0, 0
	for zone, count := range sample.Free {
		open := true
		for _, version := range versions {
			open = open && version.catalog.IsOpen(zone) && checker.history.canUseRunners(version.catalog)
		}
		if open {
			free, slots = free+count, slots+sample.Slots[zone]
		}
	}
	return float64(free) / float64(max(1, slots))
}
