package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

// fakeClock is a clock that only advances when a read of a fakeConnection waits: then it jumps to the end of the wait.
// Durations that a test measures with it do not depend on the speed of the machine.
type fakeClock struct{ now time.Time }

func (clock *fakeClock) advance(length time.Duration) { clock.now = clock.now.Add(length) }

// delivery is a text that a runner sends, at the given time after the previous one.
type delivery struct {
	after time.Duration
	text  string
}

// fakeConnection is a connection to a runner under a fakeClock. Only one goroutine uses it.
type fakeConnection struct {
	net.Conn // Nil: other methods are not called.
	clock    *fakeClock
	// incoming holds the remaining deliveries. After the last one the runner is silent, or closes the connection if closes
	// is set.
	incoming []delivery
	closes   bool
	// capacity is the number of bytes that can be written before writes fail; negative: unlimited.
	capacity int
	written  bytes.Buffer
	deadline time.Time
	closed   bool
	bound    bool
}

// responding returns a connection over which a runner makes the given deliveries and is silent afterwards.
func responding(clock *fakeClock, incoming ...delivery) *fakeConnection {
	return &fakeConnection{clock: clock, incoming: slices.Clone(incoming), capacity: -1}
}

// Read returns the next delivery; it waits for it until the deadline.
func (connection *fakeConnection) Read(into []byte) (int, error) {
	if len(connection.incoming) == 0 {
		if connection.closes {
			return 0, io.EOF
		}
		return 0, connection.waitUntilDeadline()
	}
	first := &connection.incoming[0]
	if at := connection.clock.now.Add(first.after); !connection.deadline.IsZero() && at.After(connection.deadline) {
		first.after = at.Sub(connection.deadline)
		return 0, connection.waitUntilDeadline()
	}
	connection.clock.advance(first.after)
	first.after = 0
	count := copy(into, first.text)
	first.text = first.text[count:]
	if first.text == "" {
		connection.incoming = connection.incoming[1:]
	}
	return count, nil
}

func (connection *fakeConnection) waitUntilDeadline() error {
	if connection.deadline.IsZero() {
		panic("a read without a deadline would wait for ever")
	}
	if connection.deadline.After(connection.clock.now) {
		connection.clock.now = connection.deadline
	}
	return os.ErrDeadlineExceeded
}

// Write accepts as many bytes as the remaining capacity allows.
func (connection *fakeConnection) Write(content []byte) (int, error) {
	room := connection.capacity - connection.written.Len()
	if connection.capacity < 0 || len(content) <= room {
		return connection.written.Write(content)
	}
	count, _ := connection.written.Write(content[:room])
	return count, errors.New("the connection is full")
}

func (connection *fakeConnection) SetDeadline(deadline time.Time) error {
	connection.deadline = deadline
	return nil
}

func (connection *fakeConnection) SetReadDeadline(deadline time.Time) error {
	return connection.SetDeadline(deadline)
}

func (connection *fakeConnection) Close() error {
	connection.closed = true
	return nil
}

func (connection *fakeConnection) Idle() bool { return !connection.closed }

func (connection *fakeConnection) Bind(context.Context) (release func() bool) {
	connection.bound = true
	return func() bool { return true }
}

// headerDisposition is the header in which the runners of these tests state the disposition of their response.
const headerDisposition = "Disposition"

// dispositionHeaderCodec takes the disposition from the header of the response. It asks runners for no identity.
type dispositionHeaderCodec struct{ codec.Codec }

func (dispositionHeaderCodec) IdentityPath() string { return "" }

func (dispositionHeaderCodec) Classify(
	response *fasthttp.Response, _ *admission.Request, _ codec.Attempt,
) codec.ResponseHead {
	return codec.ResponseHead{
		Disposition: codec.Disposition(response.Header.Peek(headerDisposition)),
		Closes:      response.Header.ConnectionClose(),
	}
}

// newFakeClockDaemon returns a daemon under a fakeClock, with one runner behind each connection, named r0, r1 and so
// on. A runner without a connection can't be dialed.
func newFakeClockDaemon(t *testing.T, clock *fakeClock, connections ...*fakeConnection) *testDaemon {
	t.Helper()
	runners := make([]*scriptedRunner, len(connections))
	byAddress := map[string]*fakeConnection{}
	for index, connection := range connections {
		name := string(rune('0' + index))
		runners[index] = &scriptedRunner{id: "r" + name, address: "127.0.0.1:" + name}
		byAddress[runners[index].address] = connection
	}
	clock.now = time.Now()
	daemon := newDaemon(t, runners...)
	daemon.Environment = netio.Environment{
		Now:  func() time.Time { return clock.now },
		Go:   func(work func()) { work() },
		Wait: func(_ context.Context, length time.Duration, _ <-chan struct{}) { clock.advance(length) },
		Dial: func(_ context.Context, address string, _ netio.Timeouts) (netio.Conn, error) {
			if connection := byAddress[address]; connection != nil {
				return connection, nil
			}
			return nil, apierror.New(apierror.Unreachable, "nobody listens at %s", address)
		},
	}
	daemon.Codec = dispositionHeaderCodec{daemon.Codec}
	daemon.Connections = connpool.New(daemon.Environment, daemon.Codec.IdentityPath())
	daemon.Announce = func(dedup.Key, bool) {}
	return daemon
}

// newFakeClockAttempt returns an attempt of a request at the runner r0. The client stays connected.
func newFakeClockAttempt(daemon *testDaemon, route string) *attempt {
	made := daemon.attempt(route, &scriptedRunner{id: "r0", address: "127.0.0.1:0"},
		&admission.Request{Route: route, Model: "m", ID: "q", Body: []byte(`{"prompt":"x"}`)})
	made.exchange.client = watchClient(&recordingClient{})
	return made
}

// reason returns the reason why the runner r0 is ejected; empty if it is not.
func (daemon *testDaemon) reason(clock *fakeClock) string {
	found, _ := daemon.Loads.Lookup(clock.now, "r0", daemon.Daemons())
	return found.Reason
}

// head returns the head of a response that states its disposition, with further header lines.
func head(disposition codec.Disposition, headers string) string {
	return "HTTP/1.1 200 OK\r\n" + headerDisposition + ": " + string(disposition) + "\r\n" + headers + "\r\n"
}

// completeResponse returns a complete response with a body of a known length.
func completeResponse(disposition codec.Disposition) string {
	return head(disposition, "Content-Length: 4\r\n") + "body"
}

// streamed returns a stream whose body has no end of its own.
func streamed(text string) string {
	return head(codec.Streams, "Content-Type: text/event-stream\r\nContent-Length: 1000000\r\n") + text
}
