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

// answerBound bounds the time from a final decision to its answer, in which the daemon waits for no other process.
const answerBound = time.Millisecond

var errDisconnected = errors.New("the client has disconnected")

// clientExchange implements netio.Client for a simulated client. It records what the daemon's handler sends.
type clientExchange struct {
	client  *client
	record  *histories.ClientAttempt
	headers map[string][]string
	parser  loadtest.EventParser
	// unparsed is the part of the answer after the last complete line.
	unparsed string
	// onDisconnect, if set, is called when the client's disconnect reaches the daemon's process.
	onDisconnect func()
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

// Authority returns the requested host.
func (exchange *clientExchange) Authority() string { return "sim" }

// Target returns the request's path.
func (exchange *clientExchange) Target() string { return "/v1/stream" }

// Headers calls each for every request header, sorted by name.
func (exchange *clientExchange) Headers(each func(name, value string)) {
	for _, name := range slices.Sorted(maps.Keys(exchange.headers)) {
		for _, value := range exchange.headers[name] {
			each(name, value)
		}
	}
}

// Body returns the request's body.
func (exchange *clientExchange) Body() []byte { return exchange.client.drawn.Body() }

// ConnectedAt returns the time when the connection reached the daemon's machine, by that machine's clock. A frozen
// daemon accepts it only after it has been resumed.
func (exchange *clientExchange) ConnectedAt() time.Time { return exchange.client.host.localTime() }

// CloseAfterResponse does nothing: each client sends one request.
func (exchange *clientExchange) CloseAfterResponse() {}

// Respond records a complete response, and checks that it was sent as soon as it was decided.
func (exchange *clientExchange) Respond(status int, headers []netio.Header, body []byte) {
	exchange.recordHead(status, headers)
	loadtest.ParseRejection(exchange.record, body)
	if !exchange.client.disconnected {
		exchange.requirePrompt()
	}
}

// requirePrompt checks that a response is not held back. Once the last runner that could serve a request is lost, only
// a missing lease may still delay the response: without a current configuration the daemon can't know whether another
// runner could serve the request.
func (exchange *clientExchange) requirePrompt() {
	host := exchange.client.host
	world := host.world
	lost := world.coroutines.current.decidedAt
	decided := lost
	if host.daemon.leasedSince.After(decided) {
		decided = host.daemon.leasedSince
	}
	if held := world.Now.Sub(decided); !lost.IsZero() && held > answerBound &&
		host.localTime().Before(host.daemon.plane.Snapshot().ExpiresAt) {
		world.Check.violation("held-back: %s got its final %q %v after it was decided", exchange.record.Request,
			exchange.record.Kind, held)
	}
}

// Stream records a streamed response event by event.
func (exchange *clientExchange) Stream(status int, headers []netio.Header, source io.ReadCloser) {
	exchange.recordHead(status, headers)
	exchange.relay(source)
	// Not deferred: a process that is killed must not close the source while its coroutine unwinds.
	_ = source.Close()
}

// recordHead records the status and the headers of a response.
func (exchange *clientExchange) recordHead(status int, headers []netio.Header) {
	exchange.record.Status = status
	for _, header := range headers {
		exchange.record.RetryAfter = exchange.record.RetryAfter || header.Name == "Retry-After"
		if header.Name == admission.HeaderRunner {
			exchange.record.HeaderRunner = header.Value
		}
		if header.Name == admission.HeaderTerm {
			exchange.client.traffic.learnTerm(exchange.record.Zone, header.Value)
		}
	}
}

// relay reads a source to its end, or until the client has disconnected.
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

// Write passes content to the client, which may disconnect in the middle.
func (exchange *clientExchange) Write(content []byte) (int, error) {
	if exchange.record.ClientDisconnected {
		return 0, errDisconnected
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
	exchange.client.disconnectMidway()
	return len(content), nil
}

// Disconnected reports whether the disconnect has reached the daemon's machine.
func (exchange *clientExchange) Disconnected() bool { return !exchange.record.DisconnectedAt.IsZero() }

// OnDisconnect registers a function to be called when the client disconnects. If it has disconnected already, the call
// is scheduled as the next event.
func (exchange *clientExchange) OnDisconnect(notify func()) (stop func()) {
	exchange.onDisconnect = notify
	if exchange.Disconnected() {
		exchange.client.traffic.world.After(0, exchange.notifyDisconnect)
	}
	return func() { exchange.onDisconnect = nil }
}

// notifyDisconnect notifies the daemon's process of the disconnect, at once or when it wakes from a freeze.
func (exchange *clientExchange) notifyDisconnect() {
	client := exchange.client
	client.host.runInProcess(client.incarnation, func() {
		if notify := exchange.onDisconnect; notify != nil {
			exchange.onDisconnect = nil
			notify()
		}
	})
}
