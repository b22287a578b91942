package histories

import (
	"slices"
	"time"
)

// overlaps reports whether the fault lasted at some moment of a span of time.
func (fault *Fault) overlaps(from, until time.Time) bool {
	return !until.Before(fault.At) && from.Before(fault.Until)
}

// shadows reports whether the fault, or the time in which its consequences are excused, overlaps a span of time.
func (fault *Fault) shadows(from, until time.Time) bool {
	return !until.Before(fault.At) && from.Before(fault.Until.Add(faultShadow))
}

// daemonFaulty reports whether something was done to a daemon in a span of time.
func (history *History) daemonFaulty(daemon string, from, until time.Time) bool {
	for _, fault := range history.Faults {
		if fault.Daemon == daemon && fault.overlaps(from, until) {
			return true
		}
	}
	return false
}

// anyDaemonFaulty reports whether something was done to any daemon in a span of time.
func (history *History) anyDaemonFaulty(from, until time.Time) bool {
	return slices.ContainsFunc(history.Faults, func(fault Fault) bool {
		return fault.Daemon != "" && fault.overlaps(from, until)
	})
}

// excusedByFault reports whether a fault excuses something at a daemon in a span of time.
func (history *History) excusedByFault(daemon string, from, until time.Time) bool {
	for _, fault := range history.Faults {
		if fault.Daemon == daemon && fault.shadows(from, until) {
			return true
		}
	}
	return false
}

// runnerFault returns the first fault of a runner whose consequences overlap a span of time.
func (history *History) runnerFault(runner string, from, until time.Time) (Fault, bool) {
	for _, fault := range history.Faults {
		if fault.Runner == runner && fault.shadows(from, until) {
			return fault, true
		}
	}
	return Fault{}, false
}

// isolatedFor returns for how long, at a moment, a daemon has had no path to the core.
func (history *History) isolatedFor(daemon string, at time.Time) time.Duration {
	for index := len(history.Isolations) - 1; index >= 0; index-- {
		isolation := history.Isolations[index]
		if isolation.Daemon == daemon && isolation.From.Before(at) && !at.After(isolation.Until) {
			return at.Sub(isolation.From)
		}
	}
	return 0
}
