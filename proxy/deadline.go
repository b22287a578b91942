package proxy

import (
	"time"

	"wardtray/config"
)

const (
	// idleTimeout is how long the next event is waited for where no deadline is known.
	idleTimeout = 15 * time.Second
	// firstEventGrace is what a first event is given beyond its latency target where no deadline is known.
	firstEventGrace = time.Second
	// pauseFactor is for how many times the usual pause of its route a resumable stream may stand still before it is
	// resumed at another runner.
	pauseFactor = 2
	// minimumRemaining is what remains of a deadline that has passed, since 0 stands for no deadline.
	minimumRemaining = time.Millisecond
)

// deadline is the moment at which nobody waits for the complete response any more. It is a value: every method is a
// function of the times it is given.
type deadline struct {
	// started is when the request arrived.
	started time.Time
	// until is the deadline; zero: there is none.
	until time.Time
}

// newDeadline returns the earliest of the deadlines which so many timeouts set, counted from started; 0 sets none.
func newDeadline(started time.Time, timeouts ...time.Duration) deadline {
	least := time.Duration(0)
	for _, timeout := range timeouts {
		if timeout > 0 && (least == 0 || timeout < least) {
			least = timeout
		}
	}
	if least == 0 {
		return deadline{started: started}
	}
	return deadline{started: started, until: started.Add(least)}
}

// timeout is how long the client waits in all; 0: not known.
func (deadline deadline) timeout() time.Duration {
	if deadline.until.IsZero() {
		return 0
	}
	return deadline.until.Sub(deadline.started)
}

// remaining is how long the client still waits, at least minimumRemaining; 0: not known.
func (deadline deadline) remaining(now time.Time) time.Duration {
	if deadline.until.IsZero() {
		return 0
	}
	return max(minimumRemaining, deadline.until.Sub(now))
}

// passed reports whether nobody waits any more.
func (deadline deadline) passed(now time.Time) bool {
	return !deadline.until.IsZero() && !now.Before(deadline.until)
}

// waits bounds how long one request waits for its runner.
type waits struct {
	route *config.Route
	// remaining is how long the client still waits; 0: not known.
	remaining time.Duration
	// mayRetry says that the request may be sent to one more runner.
	mayRetry bool
}

// latencyTarget is the time in which the first event should come: that of the route, or what is left if that is less.
func (waits waits) latencyTarget() time.Duration {
	target := time.Duration(waits.route.LatencyTarget)
	if waits.remaining > 0 && waits.remaining < target {
		return waits.remaining
	}
	return target
}

// firstEvent is how long the first event is waited for. earlyRetry says that a runner which does not respond may be
// given up for another one before the deadline.
func (waits waits) firstEvent(earlyRetry bool) time.Duration {
	target := time.Duration(waits.route.LatencyTarget)
	if waits.remaining > 0 {
		// A run that can't be repeated is of use up to the client's own deadline, and a runner that does not respond
		// may still do so. One that can be is better started again at another runner while there is time.
		if !waits.route.Idempotent || !waits.mayRetry || !earlyRetry {
			return waits.remaining
		}
		return min(waits.remaining, max(target, waits.remaining/2))
	}
	// A run that can't be repeated is given its latency target once more before its outcome is called unknown; one that
	// can be is better started again. Nobody waits longer than that for a runner that seems healthy.
	if !waits.route.Idempotent {
		return max(target+firstEventGrace, 2*target)
	}
	return target + firstEventGrace
}

// nextEvent is how long an event after the first is waited for.
func (waits waits) nextEvent() time.Duration {
	if waits.remaining == 0 {
		return idleTimeout
	}
	if waits.route.Resumable && waits.route.Pause > 0 && waits.mayRetry {
		return min(waits.remaining, pauseFactor*time.Duration(waits.route.Pause))
	}
	return waits.remaining
}
