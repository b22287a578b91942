package simulation

import (
	"time"

	"wardtray/verify/histories"
)

// hangUp closes the client's connection; the close reaches the machine of its daemon a little later, behind the request.
func (asker *client) hangUp() {
	if asker.finished || asker.hungUp {
		return
	}
	asker.hungUp, asker.record.HungUp = true, true
	if asker.host != nil {
		asker.deliverHangUp()
	}
}

// deliverHangUp carries the close to the daemon's machine, whose process learns of it when it runs.
func (asker *client) deliverHangUp() {
	traffic, host := asker.traffic, asker.host
	traffic.world.After(traffic.world.transitTime(), func() {
		if asker.finished || !host.up || host.incarnation != asker.incarnation {
			return
		}
		asker.record.HungUpAt = traffic.world.Now
		asker.notifyHangUp()
		asker.checkDeparture(traffic.world.Now)
	})
}

// checkDeparture looks whether the daemon still works for the client once its process has run for long enough without a break.
func (asker *client) checkDeparture(since time.Time) {
	traffic, host := asker.traffic, asker.host
	traffic.world.After(histories.DepartureBound, func() {
		now := traffic.world.Now
		if !host.up || host.incarnation != asker.incarnation {
			return
		}
		if host.frozen || host.wokenAt.After(since) {
			asker.checkDeparture(now)
			return
		}
		traffic.checker.CheckDeparture(asker.record, now)
		traffic.reportViolations()
	})
}

// notifyHangUp has the daemon's process learn of the close, at once or when it wakes from a freeze.
func (asker *client) notifyHangUp() {
	asker.traffic.world.on(asker.host, asker.incarnation, func() {
		if told := asker.onHangUp; told != nil {
			asker.onHangUp = nil
			told()
		}
	})
}

// Left tells whether the close has reached the daemon's machine.
func (asker *client) Left() bool { return !asker.record.HungUpAt.IsZero() }

// Watch has a function called when the close comes, or a moment later where it is there.
func (asker *client) Watch(left func()) (stop func()) {
	asker.onHangUp = left
	if asker.Left() {
		asker.traffic.world.After(0, asker.notifyHangUp)
	}
	return func() { asker.onHangUp = nil }
}
