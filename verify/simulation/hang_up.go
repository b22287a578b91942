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

// hangUpMidway hangs up if the client does so after as many events as it has now.
func (client *client) hangUpMidway() {
	if client.hangsUpAfter > 0 && len(client.record.IDs) >= client.hangsUpAfter && !client.record.Done {
		client.hangUp()
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
		client.exchange.notifyHangUp()
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
