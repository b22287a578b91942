package histories

import (
	"strings"
	"time"
)

// sentAfterDeparture returns how long after its client had left a request was sent to its runner.
//
// Where only its arrival is known, bytes that left in time and were held up on their way to a runner in trouble are
// excused, for as long as a daemon leaves them on their way. Trouble of the daemon excuses nothing: it looks once more
// when it wakes from a freeze.
func (checker *Checker) sentAfterDeparture(run *Run, answer *Answer) time.Duration {
	sent := run.Sent
	if sent.IsZero() {
		sent = run.At
	}
	if answer.HungUpAt.IsZero() || !sameMachine(answer.Daemon, run.Daemon) || sent.Before(answer.HungUpAt) ||
		checker.sentTwice(answer) {
		return 0
	}
	late := sent.Sub(answer.HungUpAt)
	if _, heldUp := checker.history.runnerFault(run.Runner, answer.Sent, run.At); heldUp && run.Sent.IsZero() &&
		late <= DepartureBound+transitTime {
		return 0
	}
	return late
}

// sameMachine reports whether two addresses are one daemon's: clients know it by another port than runners do.
func sameMachine(left, right string) bool {
	leftMachine, _, _ := strings.Cut(left, ":")
	rightMachine, _, _ := strings.Cut(right, ":")
	return leftMachine == rightMachine
}

// sentTwice reports whether the same request came to the same daemon more than once, so that runs can't be told apart.
func (checker *Checker) sentTwice(answer *Answer) bool {
	count := 0
	for _, other := range checker.requests[answer.Request] {
		if other.Daemon == answer.Daemon {
			count++
		}
	}
	return count > 1
}

// CheckDeparture checks whether anybody still works for a client that has left, at a moment by which its daemon has had
// DepartureBound to learn it. Runs that must come to their end are none of these; a daemon in trouble within that time
// is excused.
func (checker *Checker) CheckDeparture(answer *Answer, until time.Time) {
	if answer.HungUpAt.IsZero() || !answer.Cancels || checker.sentTwice(answer) {
		return
	}
	if checker.history.daemonFaulty(answer.Daemon, until.Add(-DepartureBound), until) {
		return
	}
	for _, run := range checker.runs[answer.Request] {
		if sameMachine(run.Daemon, answer.Daemon) && run.At.Before(until) && !run.finishedBy(until) {
			checker.reporter("left-requester")("%s was still worked on at %s %v after its requester had left %s",
				answer.Request, run.Runner, DepartureBound, run.Daemon)
		}
	}
}

// finishedBy reports whether a run had ended, or its daemon had let go of it, by a moment.
func (run *Run) finishedBy(at time.Time) bool {
	return !run.Finished.IsZero() && !run.Finished.After(at) || !run.Canceled.IsZero() && !run.Canceled.After(at)
}
