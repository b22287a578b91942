package proxy

import (
	"time"

	"wardtray/config"
)

const (
	// idleTimeout bounds the wait for the next event if no deadline is known.
	idleTimeout = 15 * time.Second
	// firstEventGrace is the time that a first event may take beyond its latency target if no deadline is known.
	firstEventGrace = time.Second
	// pauseFactor is the multiple of the usual pause of its route after which a stalled resumable stream is also asked
	// for at another runner.
	pauseFactor = 2
	// minimumRemaining is the remaining time reported after a deadline has passed, since 0 stands for no deadline.
	minimumRemaining = time.Millisecond
)

// deadline is the time after which the client no longer waits for the complete response. It is a value type; its
// methods only depend on the times that they are given.
type deadline struct {
	// started is the arrival time of the request.
	started time.Time
	// until is the deadline; zero if there is none.
	until time.Time
}

// newDeadline returns the earliest of the deadlines set by the timeouts, counted from started. A timeout of 0 sets
// none.
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

// timeout returns the total time for which the client waits; 0 if that is not known.
func (deadline deadline) timeout() time.Duration {
	if deadline.until.IsZero() {
		return 0
	}
	return deadline.until.Sub(deadline.started)
}

// remaining returns how long the client still waits, at least minimumRemaining; 0 if that is not known.
func (deadline deadline) remaining(now time.Time) time.Duration {
	if deadline.until.IsZero() {
		return 0
	}
	return max(minimumRemaining, deadline.until.Sub(now))
}

// passed reports whether the client no longer waits.
func (deadline deadline) passed(now time.Time) bool {
	return !deadline.until.IsZero() && !now.Before(deadline.until)
}

// waitLimits bounds how long one request waits for its runner.
type waitLimits struct {
	route *config.Route
	// remaining is the time for which the client still waits; 0 if that is not known.
	remaining time.Duration
	// mayRetry reports whether the request may be sent to one more runner.
	mayRetry bool
}

// latencyTarget returns the time within which the first event should arrive: the latency target of the route, or the
// remaining time if that is less.
func (limits waitLimits) latencyTarget() time.Duration {
	target := time.Duration(limits.route.LatencyTarget)
	if limits.remaining > 0 && limits.remaining < target {
		return limits.remaining
	}
	return target
}

// firstEvent returns the wait for the first event after which another runner is tried too, if the request may be
// repeated; otherwise, or if no deadline is known, the maximum wait. earlyRetry allows another runner to be tried
// before the deadline.
func (limits waitLimits) firstEvent(earlyRetry bool) time.Duration {
	target := time.Duration(limits.route.LatencyTarget)
	if limits.remaining > 0 {
		// A run that can't be repeated is useful until the client's deadline, and a runner that is silent may still
		// respond. A run that can be repeated is better started at another runner too while there is time.
		if !limits.route.Idempotent || !limits.mayRetry || !earlyRetry {
			return limits.remaining
		}
		return min(limits.remaining, max(target, limits.remaining/2))
	}
	// A run that can't be repeated gets twice its latency target before its outcome is reported as unknown; a run that
	// can be repeated is better started again. No request waits longer than that for a runner that seems healthy.
	if !limits.route.Idempotent {
		return max(target+firstEventGrace, 2*target)
	}
	return target + firstEventGrace
}

// nextEvent returns the wait for an event after the first after which another runner is asked for the rest of a
// resumable stream; otherwise the maximum wait.
func (limits waitLimits) nextEvent() time.Duration {
	if limits.remaining == 0 {
		return idleTimeout
	}
	if limits.route.Resumable && limits.route.Pause > 0 && limits.mayRetry {
		return min(limits.remaining, pauseFactor*time.Duration(limits.route.Pause))
	}
	return limits.remaining
}
