package transport

import (
	"fmt"
	"net"
	"testing"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// testTimeout is the time for which a test waits for an expected event.
const testTimeout = 10 * time.Second

// refusal holds the arguments of a call of a transport's refused function.
type refusal struct {
	address string
	tried   time.Time
}

// endpoint is a transport that listens on the loopback interface and records the calls of its functions.
type endpoint struct {
	*Transport
	received chan *wire.Envelope
	refused  chan refusal
}

// listen starts an endpoint at an address until the test ends.
func listen(t *testing.T, address string) *endpoint {
	t.Helper()
	started := &endpoint{received: make(chan *wire.Envelope, 4096), refused: make(chan refusal, 64)}
	started.Transport = New(address, "a", func(envelope *wire.Envelope) { started.received <- envelope },
		func(address string, tried time.Time) { started.refused <- refusal{address, tried} })
	if err := started.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

// free returns an address at which no process listens.
func free(t *testing.T) string {
	t.Helper()
	listener := listenTCP(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// listenTCP opens a free port of the loopback interface until the test ends.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // A test may have closed it before.
	return listener
}

// prompt returns a small message to an address.
func prompt(to string) []statemachine.Message {
	body := &wire.Envelope_DaemonLeasePrompt{DaemonLeasePrompt: &wire.DaemonLeasePrompt{Sequence: 1}}
	return []statemachine.Message{{To: to, Envelope: &wire.Envelope{Body: body}}}
}

// within returns the next value of a channel, or fails the test after testTimeout.
func within[Value any](t *testing.T, channel <-chan Value, description string) Value {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("%s did not arrive within %v", description, testTimeout)
		panic("unreachable")
	}
}

// A peer that ends must be detected as dead without sending to it, and a new process at the same address must be
// reached over a new connection.
func TestDeadPeersAreDetectedAtOnce(t *testing.T) {
	one, other := listen(t, free(t)), listen(t, free(t))
	one.Send(prompt(other.address))
	within(t, other.received, "the first message")
	before := time.Now()
	other.Close()
	found := within(t, one.refused, "the refused connection")
	if found.address != other.address || found.tried.Before(before) {
		t.Fatalf("unexpected refused connection: %v", found)
	}
	again := listen(t, other.address)
	for started := time.Now(); time.Since(started) < testTimeout; {
		one.Send(prompt(again.address))
		select {
		case <-again.received:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatal("the new process at the same address was not reached")
}

// A peer that accepts connections but reads nothing, and one that does not exist, must not delay messages to other
// peers.
func TestUnresponsivePeersDelayNobody(t *testing.T) {
	unresponsive := listenTCP(t)
	one, other := listen(t, free(t)), listen(t, free(t))
	forward := &wire.ChainForward{Entry: &wire.Entry{Spec: make([]byte, 1<<20)}}
	large := &wire.Envelope{Body: &wire.Envelope_ChainForward{ChainForward: forward}}
	for range 40 {
		one.Send([]statemachine.Message{{To: unresponsive.Addr().String(), Envelope: large}})
	}
	one.Send(prompt(free(t)))
	for number := range 100 {
		one.Send(prompt(other.address))
		within(t, other.received, fmt.Sprint("message ", number))
	}
	if one.Counters.Dropped.Load() == 0 && len(one.queues[unresponsive.Addr().String()]) == 0 {
		t.Fatal("the unresponsive peer read everything, so that nothing was tested")
	}
}
