package controller

import "time"

const (
	// isolationRounds is how many rounds of requests to every core machine must stay unanswered before a daemon counts
	// as isolated from all of them.
	isolationRounds = 3
	// isolationStep is for how long an isolated daemon serves before it checks again that it is isolated.
	isolationStep = 200 * time.Millisecond
	// suspensionThreshold is after what pause between ticks a process counts as suspended: it has sent no requests
	// meanwhile.
	suspensionThreshold = 500 * time.Millisecond
)

// permission decides until when the daemon may dispatch requests: by a lease, or without one while it is isolated from
// all core machines.
type permission struct {
	// withoutCore is for how long after its last lease an isolated daemon may dispatch.
	withoutCore   time.Duration
	configuration *configuration
	leases        *leases
	// unansweredRounds counts the rounds of requests to every core machine since one of them last responded.
	unansweredRounds int
	lastTick         time.Time
	// newestSequence is the newest sequence that a core machine has reported.
	newestSequence uint64
}

// newPermission returns the state of a daemon that has sent no request yet.
func newPermission(withoutCore time.Duration, configuration *configuration, leases *leases) *permission {
	return &permission{withoutCore: withoutCore, configuration: configuration, leases: leases}
}

// tick records that the process is running, and starts to count rounds anew if it was suspended.
func (permission *permission) tick(now time.Time) {
	if now.Sub(permission.lastTick) >= suspensionThreshold {
		permission.unansweredRounds = 0
	}
	permission.lastTick = now
}

// until returns until when the daemon may dispatch; a moment in the past means that it may not.
func (permission *permission) until(now time.Time) time.Time {
	if !permission.leases.ready {
		return time.Time{}
	}
	until := permission.leases.until()
	if now.Before(until) || !permission.isolated(now) {
		return until
	}
	return earlier(now.Add(isolationStep), permission.isolationEnd())
}

// isolated reports whether the daemon continues with what it has because it reaches no core machine: none responded to
// several rounds of requests, and none has reported anything newer. A machine that has just started does not know
// whether there is a head, so its response changes nothing. A daemon that was suspended has sent no requests meanwhile
// and is not isolated.
func (permission *permission) isolated(now time.Time) bool {
	suspended := now.Sub(permission.lastTick) >= suspensionThreshold
	return permission.unansweredRounds >= isolationRounds && !suspended &&
		permission.configuration.sequence >= permission.newestSequence &&
		now.Before(permission.isolationEnd())
}

// isolationEnd returns until when the daemon may continue without any core machine, counted from its last lease.
func (permission *permission) isolationEnd() time.Time {
	return permission.leases.lastEnd.Add(permission.withoutCore)
}

// onNewerSequence records that a core machine has a newer document.
func (permission *permission) onNewerSequence(sequence uint64) {
	permission.newestSequence = max(permission.newestSequence, sequence)
}
