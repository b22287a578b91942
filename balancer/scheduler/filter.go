package scheduler

import (
	"sort"

	"wardtray/balancer/load"
)

// minFleet is the least number of runners of a backend for which some are reserved for long prompts, and for which
// ejected runners are used again.
const minFleet = 4

// eligible reports whether a request may be sent to a candidate at all, be it saturated or not.
func eligible(requirements *Requirements, candidate *Candidate) bool {
	return candidate.Usable && !requirements.ExcludedRunners[candidate.ID] && candidate.Limit != 0
}

// readmitEjected makes ejected runners usable again where they are more than a half, those whose ejection ends first:
// it is then more likely that something else is wrong, and a backend must not be left without runners.
func readmitEjected(runners []load.Runner) []load.Runner {
	var ejected []int
	remaining := 0
	for index := range runners {
		if runners[index].Reason == load.ReasonDraining {
			continue
		}
		remaining++
		if !runners[index].Usable {
			ejected = append(ejected, index)
		}
	}
	excess := len(ejected) - remaining/2
	if remaining < minFleet || excess <= 0 {
		return runners
	}
	sort.Slice(ejected, func(left, right int) bool {
		return runners[ejected[left]].Until.Before(runners[ejected[right]].Until)
	})
	readmitted := append([]load.Runner{}, runners...)
	for _, index := range ejected[:excess] {
		readmitted[index].Usable = true
	}
	return readmitted
}
