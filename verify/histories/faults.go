package histories

import (
	"slices"
	"time"
)

// SilentDetectionTime is the DetectionTime of faults that nothing reports and that break no connection: the runner is
// only silent.
const SilentDetectionTime = 4 * time.Second

// isSilent reports whether the fault only makes a runner silent.
func (fault *Fault) isSilent() bool {
	return fault.Runner != "" && fault.DetectionTime == SilentDetectionTime
}

// overlaps reports whether the fault overlaps a span of time.
func (fault *Fault) overlaps(from, until time.Time) bool {
	return !until.Before(fault.At) && from.Before(fault.Until)
}

// excuses reports whether the fault, or the time after it in which its consequences are excused, overlaps a span of
// time.
func (fault *Fault) excuses(from, until time.Time) bool {
	return !until.Before(fault.At) && from.Before(fault.Until.Add(faultExcusePeriod))
}

// daemonFaulty reports whether a daemon had a fault in a span of time.
func (history *History) daemonFaulty(daemon string, from, until time.Time) bool {
	for _, fault := range history.Faults {
		if fault.Daemon == daemon && fault.overlaps(from, until) {
			return true
		}
	}
	return false
}

// anyDaemonFaulty reports whether any daemon had a fault in a span of time.
func (history *History) anyDaemonFaulty(from, until time.Time) bool {
	return slices.ContainsFunc(history.Faults, func(fault Fault) bool {
		return fault.Daemon != "" && fault.overlaps(from, until)
	})
}

// excusedByFault reports whether a fault excuses the behaviour of a daemon in a span of time.
func (history *History) excusedByFault(daemon string, from, until time.Time) bool {
	for _, fault := range history.Faults {
		if fault.Daemon == daemon && fault.excuses(from, until) {
			return true
		}
	}
	return false
}

// runnerFault returns the first fault of a runner that, with the time in which its consequences are excused, overlaps a
// span of time.
func (history *History) runnerFault(runner string, from, until time.Time) (Fault, bool) {
	for _, fault := range history.Faults {
		if fault.Runner == runner && fault.excuses(from, until) {
			return fault, true
		}
	}
	return Fault{}, false
}

// isolatedFor returns the time for which a daemon has had no path to the control machines at a moment; 0 if it has one.
func (history *History) isolatedFor(daemon string, at time.Time) time.Duration {
	for index := len(history.Isolations) - 1; index >= 0; index-- {
		isolation := history.Isolations[index]
		if isolation.Daemon == daemon && isolation.From.Before(at) && !at.After(isolation.Until) {
			return at.Sub(isolation.From)
		}
	}
	return 0
}
