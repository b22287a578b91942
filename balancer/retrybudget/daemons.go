package retrybudget

import "time"

// retainedWindows is the number of windows for which a daemon that is no longer seen keeps its share of the slack.
const retainedWindows = 3

// daemonPeak tracks the maximum number of daemons seen in the current window and the retainedWindows before it.
//
// The slack is divided by the maximum, because a daemon that has just stopped may have spent its share, and one that is
// partitioned from the others sees none of them.
type daemonPeak struct {
	// window is the length of a window.
	window time.Duration
	peaks  [retainedWindows + 1]windowPeak
}

// windowPeak is the maximum number of daemons seen in the window with this number; windows are numbered from 0 at the
// first use.
type windowPeak struct {
	number  int64
	daemons int
}

// observe records the number of daemons seen now, and returns the maximum over the current window and the
// retainedWindows before it, at least 1.
func (peak *daemonPeak) observe(elapsed time.Duration, daemons int) int {
	number := int64(elapsed / peak.window)
	current := &peak.peaks[number%int64(len(peak.peaks))]
	if current.number != number {
		*current = windowPeak{number: number}
	}
	current.daemons = max(current.daemons, daemons)
	maximum := 1
	for _, seen := range peak.peaks {
		if seen.number >= number-retainedWindows {
			maximum = max(maximum, seen.daemons)
		}
	}
	return maximum
}
