package scheduler

import (
	"sort"

	"wardtray/balancer/load"
)

// minFleet is the number of runners that a backend needs for some of them to be reserved for long prompts, and for
// ejected runners to be readmitted.
const minFleet = 4

// eligible reports whether a request may be sent to a candidate, regardless of whether the candidate is saturated.
func eligible(requirements *Requirements, candidate *Candidate) bool {
	return candidate.Usable && !requirements.ExcludedRunners[candidate.ID] && candidate.Limit != 0
}

// readmitEjected makes the excess of ejected runners usable again if more than half of the runners are ejected,
// beginning with those whose ejection ends first. The cause is then probably not in the runners, and a backend must not
// be left without runners.
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
		return runners[ejected[left]].EjectedUntil.Before(runners[ejected[right]].EjectedUntil)
	})
	readmitted := append([]load.Runner{}, runners...)
	for _, index := range ejected[:excess] {
		readmitted[index].Usable = true
	}
	return readmitted
}
