package retrybudget

import "time"

// rememberedWindows is for how many windows a daemon that is no longer seen still has its share of the slack.
const rememberedWindows = 3

// daemonPeak remembers the greatest number of daemons seen in each of the last windows.
//
// It returns the greatest because a daemon that has just stopped may have spent its share, and one that is partitioned
// from the others sees none of them.
type daemonPeak struct {
	window time.Duration
	peaks  [rememberedWindows + 1]windowPeak
}

// windowPeak is the greatest number of daemons seen in the window of this number, counted from the first use.
type windowPeak struct {
	number  int64
	daemons int
}

// observe records the number of daemons seen now and returns the greatest of the last windows, at least 1.
func (peak *daemonPeak) observe(elapsed time.Duration, daemons int) int {
	number := int64(elapsed / peak.window)
	current := &peak.peaks[number%int64(len(peak.peaks))]
	if current.number != number {
		*current = windowPeak{number: number}
	}
	current.daemons = max(current.daemons, daemons)
	most := 1
	for _, seen := range peak.peaks {
		if seen.number >= number-rememberedWindows {
			most = max(most, seen.daemons)
		}
	}
	return most
}
