package simulation

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"wardtray/proxy/admission"
	"wardtray/transport/netio"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// resend has a client send its request once more to the same daemon, at some moment during the
// first's life or after it.
func (traffic *Traffic) resend(drawn loadtest.Drawn, first *client) {
	traffic.world.After(50*time.Millisecond+time.Duration(traffic.random.Int63n(int64(2*time.Second))), func() {
		if host := first.host; host != nil && host.up && first.incarnation == host.incarnation {
			second := traffic.newClient(drawn, first.record.Zone)
			second.record.Resent = true
			second.send(host)
		}
	})
}

// client is one client with its request.
type client struct {
	traffic      *Traffic
	drawn        loadtest.Drawn
	headers      map[string][]string
	record       *histories.Answer
	parser       loadtest.EventParser
	host         *Host
	incarnation  int
	read         bool
	finished     bool
	hangsUpAfter int
	// hungUp means that the client has closed its connection; onHangUp is what the daemon wants called then.
	hungUp   bool
	onHangUp func()
	unparsed string
	attempts int
}

func (traffic *Traffic) newClient(drawn loadtest.Drawn, zone string) *client {
	made := &client{traffic: traffic, drawn: drawn, headers: drawn.Headers(traffic.Mix.Model),
		record: &histories.Answer{
			Request:       drawn.ID,
			Route:         drawn.Kind.Route,
			Once:          drawn.Kind.Once,
			LatencyTarget: drawn.Kind.LatencyTarget,
			Zone:          zone,
			Sent:          traffic.world.Now,
			Resumable:     drawn.Kind.Resumable,
			Cancels:       drawn.Kind.Cancel || !drawn.Kind.Once,
			Bound:         drawn.TimeLimit(),
		}}
	made.parser.Record = made.record
	traffic.checker.ObserveRequest(made.record)
	return made
}

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
			if client.attempts >= 5 || client.record.Resent {
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
			host.daemon.plane.Handler.Serve(client)
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
	// Where daemons can't hear one another no word of a taken request can pass; docs/interface.md says so.
	troubled := traffic.world.network.Loss > 0 || traffic.world.topology.hasCuts()
	if !lost || traffic.Retries == 0 || troubled || client.record.Resent {
		return
	}
	traffic.world.After(200*time.Millisecond+time.Duration(traffic.random.Int63n(int64(time.Second))), func() {
		if host := traffic.daemons.pick(client.record.Zone); host != nil && host.up && host.Zone == client.host.Zone {
			second := traffic.newClient(client.drawn, client.record.Zone)
			second.record.Resent = true
			second.send(host)
		}
	})
}

func (client *client) Header(name string) []string { return client.headers[name] }

func (client *client) Method() string { return "POST" }

func (client *client) Authority() string { return "sim" }

func (client *client) Target() string { return "/v1/stream" }

func (client *client) Headers(each func(name, value string)) {
	for _, name := range slices.Sorted(maps.Keys(client.headers)) {
		for _, value := range client.headers[name] {
			each(name, value)
		}
	}
}

func (client *client) Body() []byte { return client.drawn.Body() }

func (client *client) CloseAfterResponse() {}

func (client *client) recordHead(status int, headers []netio.Header) {
	client.record.Status = status
	for _, header := range headers {
		client.record.RetryAfter = client.record.RetryAfter || header.Name == "Retry-After"
		if header.Name == admission.HeaderRunner {
			client.record.Head = header.Value
		}
	}
}

func (client *client) Respond(status int, headers []netio.Header, body []byte) {
	client.recordHead(status, headers)
	loadtest.ParseRejection(client.record, body)
	if client.hungUp {
		return
	}
	// From the moment at which its last way was lost a request has nothing to wait for, but that its daemon is sure of
	// its spec: only then can it be said whether there is another way.
	world := client.traffic.world
	decided := world.coroutines.current.decided
	if client.host.daemon.leasedSince.After(decided) {
		decided = client.host.daemon.leasedSince
	}
	if held := world.Now.Sub(decided); !world.coroutines.current.decided.IsZero() && held > answerBound &&
		client.host.local().Before(client.host.daemon.plane.Snapshot().Until) {
		world.Check.violation("held-back: %s got its final %q %v after it was decided", client.record.Request,
			client.record.Kind, held)
	}
}

func (client *client) Stream(status int, headers []netio.Header, source io.ReadCloser) {
	client.recordHead(status, headers)
	client.relay(source)
	// Not deferred: a process that ends in the middle closes nothing in order.
	_ = source.Close()
}

// relay takes what a source gives up to its end, or until the client has hung up.
func (client *client) relay(source io.Reader) {
	for buffer := make([]byte, 4<<10); ; {
		count, err := source.Read(buffer)
		if count > 0 {
			if _, err := client.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// answerBound is how long a decided answer may take, which is nothing but the daemon's own work.
const answerBound = time.Millisecond

var errHungUp = errors.New("the requester hung up")

// Write is what reaches the client.
func (client *client) Write(content []byte) (int, error) {
	if client.record.HungUp {
		return 0, errHungUp
	}
	client.unparsed += string(content)
	for {
		line, rest, found := strings.Cut(client.unparsed, "\n")
		if !found {
			break
		}
		client.unparsed = rest
		client.parser.ParseLine(client.traffic.world.Now, line)
	}
	if client.hangsUpAfter > 0 && len(client.record.IDs) >= client.hangsUpAfter && !client.record.Done {
		client.hangUp()
	}
	return len(content), nil
}

var _ netio.Client = (*client)(nil)
