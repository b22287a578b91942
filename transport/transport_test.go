package transport

import (
	"fmt"
	"net"
	"testing"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const patient = 10 * time.Second

type refusal struct {
	address string
	tried   time.Time
}

// end is a transport that listens at a free port of the loopback.
type end struct {
	*Transport
	received chan *wire.Envelope
	refused  chan refusal
}

func listen(t *testing.T, address string) *end {
	t.Helper()
	made := &end{received: make(chan *wire.Envelope, 4096), refused: make(chan refusal, 64)}
	made.Transport = New(address, "a", func(envelope *wire.Envelope) { made.received <- envelope },
		func(address string, tried time.Time) { made.refused <- refusal{address, tried} })
	if err := made.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(made.Close)
	return made
}

// free gives an address at which nobody listens.
func free(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func parcel(to string) []statemachine.Message {
	return []statemachine.Message{{To: to, Envelope: &wire.Envelope{Body: &wire.Envelope_DaemonLeasePrompt{DaemonLeasePrompt: &wire.DaemonLeasePrompt{Sequence: 1}}}}}
}

func within[Value any](t *testing.T, channel <-chan Value, what string) Value {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(patient):
		t.Fatalf("%s: not within %v", what, patient)
		panic("unreachable")
	}
}

// A peer that ends is known to be dead without anything being sent to it, and one that is there again at the same
// address is reached again.
func TestDeadPeersAreKnownAtOnce(t *testing.T) {
	one, other := listen(t, free(t)), listen(t, free(t))
	one.Send(parcel(other.address))
	within(t, other.received, "the first message")
	before := time.Now()
	other.Close()
	found := within(t, one.refused, "the refusal")
	if found.address != other.address || found.tried.Before(before) {
		t.Fatalf("%v", found)
	}
	again := listen(t, other.address)
	for started := time.Now(); time.Since(started) < patient; {
		one.Send(parcel(again.address))
		select {
		case <-again.received:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatal("the new process at the address was not reached")
}

// A peer that takes connections and reads nothing, and one that is not there, hold up nobody else.
func TestSilentPeersHoldUpNobody(t *testing.T) {
	deaf, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	one, other := listen(t, free(t)), listen(t, free(t))
	large := &wire.Envelope{Body: &wire.Envelope_ChainForward{ChainForward: &wire.ChainForward{Entry: &wire.Entry{Spec: make([]byte, 1<<20)}}}}
	for range 40 {
		one.Send([]statemachine.Message{{To: deaf.Addr().String(), Envelope: large}})
	}
	one.Send(parcel(free(t)))
	for number := range 100 {
		one.Send(parcel(other.address))
		within(t, other.received, fmt.Sprint("message ", number))
	}
	if one.Counters.Dropped.Load() == 0 && len(one.senders[deaf.Addr().String()]) == 0 {
		t.Fatal("the deaf peer took everything, so that nothing was put to the test")
	}
}
