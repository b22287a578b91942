package simulation

import (
	"net/http"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

const (
	// maximumAttempts is how many daemons may refuse a client's connection before it gives up.
	maximumAttempts = 5
	// latestRetry is how long after its first sending a client sends a request to another daemon at the latest.
	latestRetry = 20 * time.Second
)

// resend has a client send its request once more to the same daemon, at some moment during the
// first's life or after it.
func (traffic *Traffic) resend(drawn loadtest.Drawn, first *client) {
	traffic.world.After(50*time.Millisecond+time.Duration(traffic.random.Int63n(int64(2*time.Second))), func() {
		if host := first.host; host != nil && host.up && first.incarnation == host.incarnation {
			traffic.sendAgain(drawn, first.record.Zone, host)
		}
	})
}

// resendElsewhere has a client send its request once more to any daemon of any zone, at some moment up to long after
// the first's life. What that daemon can reach meanwhile, and what it remembers, is left to chance.
func (traffic *Traffic) resendElsewhere(drawn loadtest.Drawn, zone string) {
	datas := traffic.world.Datas()
	traffic.world.After(time.Duration(traffic.random.Int63n(int64(latestRetry))), func() {
		if host := datas[traffic.random.Intn(len(datas))]; host.up {
			traffic.sendAgain(drawn, zone, host)
		}
	})
}

// sendAgain sends a request that was sent before.
func (traffic *Traffic) sendAgain(drawn loadtest.Drawn, zone string, host *Host) {
	if drawn.Attempt > 0 {
		// Whoever sends it again numbers its sendings in their order.
		traffic.resent[drawn.ID]++
		drawn.Attempt += traffic.resent[drawn.ID]
	}
	again := traffic.newClient(drawn, zone)
	again.record.Resent = true
	again.send(host)
}

// client is one client with its request.
type client struct {
	traffic  *Traffic
	drawn    loadtest.Drawn
	record   *histories.Answer
	exchange *clientExchange
	// host is the daemon's, in its incarnation at that time, that took the request; nil: none has yet.
	host        *Host
	incarnation int
	// attempts counts the daemons that refused the connection.
	attempts int
	// read means that the daemon has the request, finished that the client waits for nothing more.
	read, finished bool
	// hangsUpAfter is after how many events the client hangs up; 0: it does not for their number.
	hangsUpAfter int
	// hungUp means that the client has closed its connection.
	hungUp bool
}

// newClient makes a client of a zone, whose request is not sent yet.
func (traffic *Traffic) newClient(drawn loadtest.Drawn, zone string) *client {
	made := &client{traffic: traffic, drawn: drawn, record: drawn.NewAnswer(zone, traffic.world.Now)}
	made.exchange = newClientExchange(made)
	traffic.checker.ObserveRequest(made.record)
	return made
}

// sendRequest has a client of a zone send a request to a daemon; nil: there is none.
func (traffic *Traffic) sendRequest(drawn loadtest.Drawn, zone string, host *Host) *client {
	made := traffic.newClient(drawn, zone)
	made.send(host)
	return made
}

// send hands the request to a daemon. One whose connection is refused goes to another: nothing was read.
func (client *client) send(host *Host) {
	traffic := client.traffic
	if host == nil {
		client.finish(true)
		return
	}
	traffic.world.After(traffic.world.network.transitTime(), func() {
		if !host.up {
			client.attempts++
			if client.attempts >= maximumAttempts || client.record.Resent {
				client.finish(true)
				return
			}
			client.send(traffic.daemons.pick(client.record.Zone))
			return
		}
		client.host, client.incarnation, client.record.Daemon = host, host.incarnation, host.Address
		host.daemon.clients = append(host.daemon.clients, client)
		if client.hungUp {
			client.deliverHangUp()
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

// finish records what the client got.
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
	record.MinorityLeft = traffic.world.isolations.isMinorityLeft()
	traffic.History.Answers = append(traffic.History.Answers, record)
	if !record.Done {
		traffic.capacity.record()
	}
	traffic.checker.ObserveAnswer(record)
	traffic.reportViolations()
}

// loseDaemon is how a client sees the end of its daemon.
func (client *client) loseDaemon() {
	lost := !client.record.Done && !client.record.Error && !client.hungUp
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
