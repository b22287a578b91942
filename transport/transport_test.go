package transport

import (
	"fmt"
	"net"
	"testing"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// testTimeout is how long a test waits for what must happen.
const testTimeout = 10 * time.Second

// refusal is a call of a transport's refused function.
type refusal struct {
	address string
	tried   time.Time
}

// endpoint is a transport that listens at a free port of the loopback interface.
type endpoint struct {
	*Transport
	received chan *wire.Envelope
	refused  chan refusal
}

func listen(t *testing.T, address string) *endpoint {
	t.Helper()
	created := &endpoint{received: make(chan *wire.Envelope, 4096), refused: make(chan refusal, 64)}
	created.Transport = New(address, "a", func(envelope *wire.Envelope) { created.received <- envelope },
		func(address string, tried time.Time) { created.refused <- refusal{address, tried} })
	if err := created.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(created.Close)
	return created
}

// free returns an address at which nobody listens.
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

// within returns what a channel delivers before the test's timeout.
func within[Value any](t *testing.T, channel <-chan Value, what string) Value {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("%s: not within %v", what, testTimeout)
		panic("unreachable")
	}
}

// A peer that ends is found dead without anything being sent to it, and a new process at the same address is reached.
func TestDeadPeersAreDetectedAtOnce(t *testing.T) {
	one, other := listen(t, free(t)), listen(t, free(t))
	one.Send(prompt(other.address))
	within(t, other.received, "the first message")
	before := time.Now()
	other.Close()
	found := within(t, one.refused, "the refusal")
	if found.address != other.address || found.tried.Before(before) {
		t.Fatalf("%v", found)
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
	t.Fatal("the new process at the address was not reached")
}

// A peer that takes connections and reads nothing, and one that does not exist, delay nobody else.
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
		t.Fatal("the unresponsive peer took everything, so that nothing was tested")
	}
}
