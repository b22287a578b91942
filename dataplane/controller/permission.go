package controller

import "time"

const (
	// isolationRounds is the number of consecutive unanswered rounds of requests to every control machine after which a
	// daemon counts as isolated from all of them.
	isolationRounds = 3
	// isolationRecheckInterval is the time for which an isolated daemon serves before it checks again that it is isolated.
	isolationRecheckInterval = 200 * time.Millisecond
	// suspensionThreshold is the minimum pause between ticks after which a process counts as suspended. A suspended
	// process has sent no requests, so missing responses do not show that it is isolated.
	suspensionThreshold = 500 * time.Millisecond
)

// permission decides until when the daemon may dispatch requests: by a lease, or without one while it is isolated from
// all control machines.
type permission struct {
	// isolationLimit is the time after its last lease for which an isolated daemon may dispatch.
	isolationLimit time.Duration
	configuration  *configuration
	leases         *leases
	// unansweredRounds counts the rounds of requests to every control machine since the last response of one of them.
	unansweredRounds int
	lastTick         time.Time
	// newestSequence is the highest sequence of a document that a control machine has reported.
	newestSequence uint64
}

// newPermission returns the permission of a daemon that has sent no request yet.
func newPermission(isolationLimit time.Duration, configuration *configuration, leases *leases) *permission {
	return &permission{isolationLimit: isolationLimit, configuration: configuration, leases: leases}
}

// tick records that the process is running, and resets the count of unanswered rounds if it was suspended.
func (permission *permission) tick(now time.Time) {
	if now.Sub(permission.lastTick) >= suspensionThreshold {
		permission.unansweredRounds = 0
	}
	permission.lastTick = now
}

// until returns the time until which the daemon may dispatch; a time in the past means that it may not.
func (permission *permission) until(now time.Time) time.Time {
	if !permission.leases.ready {
		return time.Time{}
	}
	until := permission.leases.until()
	if now.Before(until) || !permission.isolated(now) {
		return until
	}
	return earlier(now.Add(isolationRecheckInterval), permission.isolationEnd())
}

// isolated reports whether the daemon may serve without a lease because it reaches no control machine: none responded
// to several rounds of requests, and none has reported a newer document. A control machine that has just started does
// not know whether there is a head, so its response does not reset the rounds. A daemon that was suspended has sent no
// requests meanwhile and is not isolated.
func (permission *permission) isolated(now time.Time) bool {
	suspended := now.Sub(permission.lastTick) >= suspensionThreshold
	return permission.unansweredRounds >= isolationRounds && !suspended &&
		permission.configuration.sequence >= permission.newestSequence &&
		now.Before(permission.isolationEnd())
}

// isolationEnd returns the time until which the daemon may serve in isolation, counted from the end of its last lease.
func (permission *permission) isolationEnd() time.Time {
	return permission.leases.lastEnd.Add(permission.isolationLimit)
}

// onNewerSequence records that a control machine has a newer document.
func (permission *permission) onNewerSequence(sequence uint64) {
	permission.newestSequence = max(permission.newestSequence, sequence)
}
