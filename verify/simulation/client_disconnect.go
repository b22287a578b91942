package simulation

import (
	"time"

	"wardtray/verify/histories"
)

// disconnect closes the client's connection. The close reaches the daemon's machine a little later, after the request.
func (client *client) disconnect() {
	if client.finished || client.disconnected {
		return
	}
	client.disconnected, client.record.ClientDisconnected = true, true
	if client.host != nil {
		client.deliverDisconnect()
	}
}

// disconnectMidway disconnects once the client has received disconnectsAfter events.
func (client *client) disconnectMidway() {
	if client.disconnectsAfter > 0 && len(client.record.IDs) >= client.disconnectsAfter && !client.record.Done {
		client.disconnect()
	}
}

// deliverDisconnect carries the close to the daemon's machine, whose process is notified when it runs.
func (client *client) deliverDisconnect() {
	traffic, host := client.traffic, client.host
	traffic.world.After(traffic.world.network.transitTime(), func() {
		if client.finished || !host.up || host.incarnation != client.incarnation {
			return
		}
		client.record.DisconnectedAt = traffic.world.Now
		client.exchange.notifyDisconnect()
		client.checkDisconnect(traffic.world.Now)
	})
}

// checkDisconnect checks that the daemon has stopped working for the client, once its process has run for
// histories.DisconnectBound without a freeze.
func (client *client) checkDisconnect(since time.Time) {
	traffic, host := client.traffic, client.host
	traffic.world.After(histories.DisconnectBound, func() {
		now := traffic.world.Now
		if !host.up || host.incarnation != client.incarnation {
			return
		}
		if host.frozen || host.wokenAt.After(since) {
			client.checkDisconnect(now)
			return
		}
		traffic.checker.CheckDisconnect(client.record, now)
		traffic.reportViolations()
	})
}
