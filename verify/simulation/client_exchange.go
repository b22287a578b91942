package simulation

import (
	"errors"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"wardtray/proxy/admission"
	"wardtray/transport/netio"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// answerBound is how long a decided answer may take, which is nothing but the daemon's own work.
const answerBound = time.Millisecond

var errHungUp = errors.New("the requester hung up")

// clientExchange is a client's request as its daemon's handler sees it; what the handler sends is recorded.
type clientExchange struct {
	client  *client
	record  *histories.Answer
	headers map[string][]string
	parser  loadtest.EventParser
	// unparsed is the part of the answer behind the last complete line.
	unparsed string
	// onHangUp is what the daemon wants called when the client hangs up.
	onHangUp func()
}

var _ netio.Client = (*clientExchange)(nil)

func newClientExchange(client *client) *clientExchange {
	exchange := &clientExchange{
		client:  client,
		record:  client.record,
		headers: client.drawn.Headers(client.traffic.Mix.Model),
	}
	exchange.parser.Record = client.record
	return exchange
}

// Header returns the values of a request header.
func (exchange *clientExchange) Header(name string) []string { return exchange.headers[name] }

// Method returns the request's method.
func (exchange *clientExchange) Method() string { return "POST" }

// Authority returns the host that the request names.
func (exchange *clientExchange) Authority() string { return "sim" }

// Target returns the request's path.
func (exchange *clientExchange) Target() string { return "/v1/stream" }

// Headers passes each request header, in the order of their names.
func (exchange *clientExchange) Headers(each func(name, value string)) {
	for _, name := range slices.Sorted(maps.Keys(exchange.headers)) {
		for _, value := range exchange.headers[name] {
			each(name, value)
		}
	}
}

// Body returns the request's body.
func (exchange *clientExchange) Body() []byte { return exchange.client.drawn.Body() }

// ConnectedAt returns when the connection reached the daemon's machine, by that machine's clock. A frozen daemon takes
// it only once it is resumed, and a little later.
func (exchange *clientExchange) ConnectedAt() time.Time { return exchange.client.host.local() }

// CloseAfterResponse does nothing: each client sends one request.
func (exchange *clientExchange) CloseAfterResponse() {}

// Respond takes a complete response, and checks that it came as soon as it was decided.
func (exchange *clientExchange) Respond(status int, headers []netio.Header, body []byte) {
	exchange.recordHead(status, headers)
	loadtest.ParseRejection(exchange.record, body)
	if !exchange.client.hungUp {
		exchange.requirePrompt()
	}
}

// requirePrompt checks that a response is not held back. From the moment at which its last way was lost a request has
// nothing to wait for, but that its daemon is sure of its spec: only then can it be said whether there is another way.
func (exchange *clientExchange) requirePrompt() {
	host := exchange.client.host
	world := host.world
	lost := world.coroutines.current.decided
	decided := lost
	if host.daemon.leasedSince.After(decided) {
		decided = host.daemon.leasedSince
	}
	if held := world.Now.Sub(decided); !lost.IsZero() && held > answerBound &&
		host.local().Before(host.daemon.plane.Snapshot().Until) {
		world.Check.violation("held-back: %s got its final %q %v after it was decided", exchange.record.Request,
			exchange.record.Kind, held)
	}
}

// Stream takes a response event by event.
func (exchange *clientExchange) Stream(status int, headers []netio.Header, source io.ReadCloser) {
	exchange.recordHead(status, headers)
	exchange.relay(source)
	// Not deferred: a process that ends in the middle closes nothing in order.
	_ = source.Close()
}

func (exchange *clientExchange) recordHead(status int, headers []netio.Header) {
	exchange.record.Status = status
	for _, header := range headers {
		exchange.record.RetryAfter = exchange.record.RetryAfter || header.Name == "Retry-After"
		if header.Name == admission.HeaderRunner {
			exchange.record.Head = header.Value
		}
		if header.Name == admission.HeaderTerm {
			exchange.client.traffic.learnTerm(exchange.record.Zone, header.Value)
		}
	}
}

// relay takes what a source gives up to its end, or until the client has hung up.
func (exchange *clientExchange) relay(source io.Reader) {
	for buffer := make([]byte, 4<<10); ; {
		count, err := source.Read(buffer)
		if count > 0 {
			if _, err := exchange.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Write is what reaches the client, which may hang up in the middle.
func (exchange *clientExchange) Write(content []byte) (int, error) {
	if exchange.record.HungUp {
		return 0, errHungUp
	}
	exchange.unparsed += string(content)
	for {
		line, rest, found := strings.Cut(exchange.unparsed, "\n")
		if !found {
			break
		}
		exchange.unparsed = rest
		exchange.parser.ParseLine(exchange.client.traffic.world.Now, line)
	}
	exchange.client.hangUpMidway()
	return len(content), nil
}

// Disconnected reports whether the close has reached the daemon's machine.
func (exchange *clientExchange) Disconnected() bool { return !exchange.record.HungUpAt.IsZero() }

// OnDisconnect has a function called when the close comes, or a moment later where it is there.
func (exchange *clientExchange) OnDisconnect(left func()) (stop func()) {
	exchange.onHangUp = left
	if exchange.Disconnected() {
		exchange.client.traffic.world.After(0, exchange.notifyHangUp)
	}
	return func() { exchange.onHangUp = nil }
}

// notifyHangUp has the daemon's process learn of the close, at once or when it wakes from a freeze.
func (exchange *clientExchange) notifyHangUp() {
	client := exchange.client
	client.host.on(client.incarnation, func() {
		if notify := exchange.onHangUp; notify != nil {
			exchange.onHangUp = nil
			notify()
		}
	})
}
