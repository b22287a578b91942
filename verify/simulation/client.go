package simulation

import (
	"net/http"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

const (
	// maximumRefusals is the number of refused connections after which a client's request fails.
	maximumRefusals = 5
	// latestRetry is the latest time after a client's first attempt at which it retries at another daemon.
	latestRetry = 20 * time.Second
)

// resend makes a client send its request once more to the same daemon, at a random time during the first attempt or
// after it.
func (traffic *Traffic) resend(drawn loadtest.Drawn, first *client) {
	traffic.world.After(50*time.Millisecond+time.Duration(traffic.random.Int63n(int64(2*time.Second))), func() {
		if host := first.host; host != nil && host.up && first.incarnation == host.incarnation {
			traffic.sendAgain(drawn, first.record.Zone, host)
		}
	})
}

// resendElsewhere makes a client send its request once more to any daemon of any zone, up to latestRetry after its
// first attempt. Which machines that daemon reaches by then, and which requests it still remembers, depend on the seed.
func (traffic *Traffic) resendElsewhere(drawn loadtest.Drawn, zone string) {
	daemons := traffic.world.Daemons()
	traffic.world.After(time.Duration(traffic.random.Int63n(int64(latestRetry))), func() {
		if host := daemons[traffic.random.Intn(len(daemons))]; host.up {
			traffic.sendAgain(drawn, zone, host)
		}
	})
}

// sendAgain sends a retry of a request.
func (traffic *Traffic) sendAgain(drawn loadtest.Drawn, zone string, host *Host) {
	if drawn.Attempt > 0 {
		// A client that retries numbers its attempts in order.
		traffic.resent[drawn.ID]++
		drawn.Attempt += traffic.resent[drawn.ID]
	}
	again := traffic.newClient(drawn, zone)
	again.record.Resent = true
	again.send(host)
}

// client is one client with its one request.
type client struct {
	traffic  *Traffic
	drawn    loadtest.Drawn
	record   *histories.ClientAttempt
	exchange *clientExchange
	// host is the data daemon that accepted the request, or nil until one has; incarnation is the daemon's incarnation at
	// that time.
	host        *Host
	incarnation int
	// refusals counts the daemons that refused the connection.
	refusals int
	// read means that the daemon has read the request, finished that the client waits for nothing more.
	read, finished bool
	// disconnectsAfter is the number of events after which the client disconnects; 0: the number does not matter.
	disconnectsAfter int
	// disconnected means that the client has closed its connection.
	disconnected bool
}

// newClient returns a client of a zone whose request is not sent yet.
func (traffic *Traffic) newClient(drawn loadtest.Drawn, zone string) *client {
	created := &client{traffic: traffic, drawn: drawn, record: drawn.NewAnswer(zone, traffic.world.Now)}
	created.exchange = newClientExchange(created)
	traffic.checker.ObserveRequest(created.record)
	return created
}

// sendRequest makes a client of a zone send a request to a daemon; a nil host fails the request at once.
func (traffic *Traffic) sendRequest(drawn loadtest.Drawn, zone string, host *Host) *client {
	created := traffic.newClient(drawn, zone)
	created.send(host)
	return created
}

// send sends the request to a daemon. If the connection is refused, the daemon has read nothing and the client tries
// another one.
func (client *client) send(host *Host) {
	traffic := client.traffic
	if host == nil {
		client.finish(true)
		return
	}
	traffic.world.After(traffic.world.network.transitTime(), func() {
		if !host.up {
			client.refusals++
			if client.refusals >= maximumRefusals || client.record.Resent {
				client.finish(true)
				return
			}
			client.send(traffic.daemons.pick(client.record.Zone))
			return
		}
		client.host, client.incarnation, client.record.Daemon = host, host.incarnation, host.Address
		host.daemon.clients = append(host.daemon.clients, client)
		if client.disconnected {
			client.deliverDisconnect()
		}
		traffic.world.coroutines.spawn(host, func() {
			client.read, client.record.Started = true, traffic.world.Now
			host.daemon.plane.Handler.Serve(client.exchange)
			client.finish(
				client.record.Status == 0 || client.record.Status == http.StatusOK && !client.record.Done && !client.record.Error,
			)
		})
	})
}

// finish records the client's result and checks it.
func (client *client) finish(lost bool) {
	if client.finished {
		return
	}
	client.finished = true
	if client.host != nil {
		client.host.daemon.removeClient(client)
	}
	traffic, record := client.traffic, client.record
	record.Got, record.ConnectionLost, record.RequestSent = traffic.world.Now, lost, client.read
	record.MinorityLeft = traffic.world.isolations.isOnlyMinorityLeft()
	traffic.History.Answers = append(traffic.History.Answers, record)
	if !record.Done {
		traffic.capacity.record()
	}
	traffic.checker.ObserveAnswer(record)
	traffic.reportViolations()
}

// onDaemonLost ends the request when the client's daemon ends, and may schedule a retry at another daemon.
func (client *client) onDaemonLost() {
	lost := !client.record.Done && !client.record.Error && !client.disconnected
	client.finish(lost)
	traffic := client.traffic
	if !lost || traffic.Retries == 0 || client.record.Resent {
		return
	}
	traffic.world.After(200*time.Millisecond+time.Duration(traffic.random.Int63n(int64(time.Second))), func() {
		if host := traffic.daemons.pick(client.record.Zone); host != nil && host.up {
			traffic.sendAgain(client.drawn, client.record.Zone, host)
		}
	})
}
