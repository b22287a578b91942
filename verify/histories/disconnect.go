package histories

import (
	"strings"
	"time"
)

// sentAfterDisconnect returns the time from the disconnect of a request's client until the request was sent to its
// runner, or 0 if it was sent before the disconnect or is excused.
//
// If only the arrival at a faulty runner is known, the request may have been sent in time and delayed on its way. Such
// a request is excused if it arrived at most DisconnectBound+transitTime after the disconnect. A fault of the daemon
// excuses nothing: a daemon checks for a disconnect again when it resumes from a freeze.
func (checker *Checker) sentAfterDisconnect(run *Run, attempt *ClientAttempt) time.Duration {
	sent := run.Sent
	if sent.IsZero() {
		sent = run.At
	}
	if attempt.DisconnectedAt.IsZero() || !sameMachine(attempt.Daemon, run.Daemon) ||
		sent.Before(attempt.DisconnectedAt) ||
		checker.retriedAtSameDaemon(attempt) {
		return 0
	}
	late := sent.Sub(attempt.DisconnectedAt)
	if _, isDelayed := checker.history.runnerFault(run.Runner, attempt.Sent, run.At); isDelayed && run.Sent.IsZero() &&
		late <= DisconnectBound+transitTime {
		return 0
	}
	return late
}

// sameMachine reports whether two addresses belong to the same daemon. Its ports for clients and for runners differ.
func sameMachine(left, right string) bool {
	leftMachine, _, _ := strings.Cut(left, ":")
	rightMachine, _, _ := strings.Cut(right, ":")
	return leftMachine == rightMachine
}

// retriedAtSameDaemon reports whether the same request was sent to the same daemon more than once, so that its runs
// can't be attributed to one client attempt.
func (checker *Checker) retriedAtSameDaemon(attempt *ClientAttempt) bool {
	count := 0
	for _, other := range checker.requests[attempt.Request] {
		if other.Daemon == attempt.Daemon {
			count++
		}
	}
	return count > 1
}

// CheckDisconnect checks whether a run of a client that has disconnected still goes on at a moment by which its daemon
// has had DisconnectBound to detect the disconnect. Runs that are not cancelled by a disconnect are excepted, and a
// fault of the daemon within that time excuses it.
func (checker *Checker) CheckDisconnect(attempt *ClientAttempt, until time.Time) {
	if attempt.DisconnectedAt.IsZero() || !attempt.CancelsOnDisconnect || checker.retriedAtSameDaemon(attempt) {
		return
	}
	if checker.history.daemonFaulty(attempt.Daemon, until.Add(-DisconnectBound), until) {
		return
	}
	for _, run := range checker.runs[attempt.Request] {
		if sameMachine(run.Daemon, attempt.Daemon) && run.At.Before(until) && !run.finishedBy(until) {
			checker.reporter("left-requester")("%s still ran at %s %v after its client had disconnected from %s",
				attempt.Request, run.Runner, DisconnectBound, run.Daemon)
		}
	}
}

// finishedBy reports whether a run had ended, or its daemon had cancelled it, by a moment.
func (run *Run) finishedBy(at time.Time) bool {
	return !run.Finished.IsZero() && !run.Finished.After(at) || !run.Canceled.IsZero() && !run.Canceled.After(at)
}
