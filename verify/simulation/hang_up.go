package simulation

import (
	"time"

	"wardtray/verify/histories"
)

// hangUp closes the client's connection; the close reaches the machine of its daemon a little later, behind the
// request.
func (client *client) hangUp() {
	if client.finished || client.hungUp {
		return
	}
	client.hungUp, client.record.HungUp = true, true
	if client.host != nil {
		client.deliverHangUp()
	}
}

// deliverHangUp carries the close to the daemon's machine, whose process learns of it when it runs.
func (client *client) deliverHangUp() {
	traffic, host := client.traffic, client.host
	traffic.world.After(traffic.world.network.transitTime(), func() {
		if client.finished || !host.up || host.incarnation != client.incarnation {
			return
		}
		client.record.HungUpAt = traffic.world.Now
		client.notifyHangUp()
		client.checkDeparture(traffic.world.Now)
	})
}

// checkDeparture looks whether the daemon still works for the client once its process has run for long enough without
// a break.
func (client *client) checkDeparture(since time.Time) {
	traffic, host := client.traffic, client.host
	traffic.world.After(histories.DepartureBound, func() {
		now := traffic.world.Now
		if !host.up || host.incarnation != client.incarnation {
			return
		}
		if host.frozen || host.wokenAt.After(since) {
			client.checkDeparture(now)
			return
		}
		traffic.checker.CheckDeparture(client.record, now)
		traffic.reportViolations()
	})
}

// notifyHangUp has the daemon's process learn of the close, at once or when it wakes from a freeze.
func (client *client) notifyHangUp() {
	client.host.on(client.incarnation, func() {
		if notify := client.onHangUp; notify != nil {
			client.onHangUp = nil
			notify()
		}
	})
}

// Disconnected reports whether the close has reached the daemon's machine.
func (client *client) Disconnected() bool { return !client.record.HungUpAt.IsZero() }

// OnDisconnect has a function called when the close comes, or a moment later where it is there.
func (client *client) OnDisconnect(left func()) (stop func()) {
	client.onHangUp = left
	if client.Disconnected() {
		client.traffic.world.After(0, client.notifyHangUp)
	}
	return func() { client.onHangUp = nil }
}
