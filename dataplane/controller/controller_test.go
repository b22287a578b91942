package controller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/coordination/gossip"
	"wardtray/coordination/lease"
	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

// specText is a spec of one zone, one backend and one route.
const specText = `{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`

// document returns a gossip message with a configuration document whose directory holds five daemons.
func document(tb testing.TB, sequence uint64) *wire.Envelope {
	tb.Helper()
	return &wire.Envelope{From: "x", Body: &wire.Envelope_GossipMessage{GossipMessage: &wire.GossipMessage{
		Entries: []*wire.GossipEntry{documentEntry(tb, sequence)},
	}}}
}

// documentEntry returns the gossip entry of the configuration document with a sequence.
func documentEntry(tb testing.TB, sequence uint64) *wire.GossipEntry {
	tb.Helper()
	content := &wire.Document{Sequence: sequence, SpecEpoch: sequence, PackedSpec: config.Pack([]byte(specText))}
	for number := range 5 {
		name := fmt.Sprint("d", number)
		content.Directory = append(content.Directory, &wire.Member{Id: name, Address: name, Zone: "a"})
	}
	value, err := proto.Marshal(content)
	if err != nil {
		tb.Fatal(err)
	}
	return &wire.GossipEntry{Key: gossip.DocumentKey, Epoch: sequence, Value: value}
}

// acceptors are the members of the views of these tests.
var acceptors = []*wire.Member{{Id: "k0", Address: "c0"}, {Id: "k1", Address: "c1"}, {Id: "k2", Address: "c2"}}

// viewOf returns a view whose head is the first acceptor.
func viewOf(epoch uint64) *wire.View {
	return &wire.View{Epoch: epoch, Chain: acceptors, Acceptors: acceptors}
}

// viewUpdate returns the message with which the first acceptor distributes a view.
func viewUpdate(view *wire.View) *wire.Envelope {
	body := &wire.Envelope_ViewUpdate{ViewUpdate: &wire.ViewUpdate{View: view}}
	return &wire.Envelope{From: "c0", Sender: "k0", Body: body}
}

// tickAndCollect lets the controller tick and returns the nonces of its lease requests, by address.
func tickAndCollect(controller *Controller, now time.Time) map[string]uint64 {
	controller.Tick(now)
	nonces := map[string]uint64{}
	for _, message := range controller.Ready() {
		if sent := message.Envelope.GetDaemonLeaseRequest(); sent != nil {
			nonces[message.To] = sent.Nonce
		}
	}
	return nonces
}

// respond passes an acceptor's response to the request that was sent to it to the controller.
func respond(
	controller *Controller, now time.Time, nonces map[string]uint64, acceptor int, response *wire.DaemonLeaseGrant,
) {
	response.Nonce = nonces[acceptors[acceptor].Address]
	controller.Receive(now, &wire.Envelope{
		From:   acceptors[acceptor].Address,
		Sender: acceptors[acceptor].Id,
		Body:   &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: response},
	})
}

// confirmingResponse returns an acceptor's response that confirms a sequence.
func confirmingResponse(sequence, epoch uint64) *wire.DaemonLeaseGrant {
	return &wire.DaemonLeaseGrant{ViewEpoch: epoch, Sequence: sequence, Confirmed: true}
}

// newTestController returns a controller that has document 7 and view 3, but holds no lease.
func newTestController(t *testing.T, settings Settings) *Controller {
	t.Helper()
	settings.Address, settings.Zone = "d0", "a"
	controller := New(started, settings, rand.New(rand.NewSource(1)))
	controller.Receive(started, document(t, 7))
	controller.Receive(started, viewUpdate(viewOf(3)))
	controller.Ready()
	return controller
}

// A daemon that starts while there is no head serves by the confirmations of a majority of the acceptors. It must not
// serve by fewer: a second confirmation of the same acceptor does not count, nor does the response of an acceptor that
// has a newer document, has an older view, or confirms nothing.
func TestServesByAMajorityOfTheAcceptors(t *testing.T) {
	controller := newTestController(t, Settings{})
	now := started.Add(2 * time.Second)
	nonces := tickAndCollect(controller, now)
	if len(nonces) != len(acceptors) {
		t.Fatalf("leases were requested from %v, want one request to each acceptor", nonces)
	}
	serves := func() bool { return now.Before(controller.Until(now)) }
	respond(controller, now, nonces, 0, confirmingResponse(7, 3))
	respond(controller, now, nonces, 0, confirmingResponse(7, 3))
	if serves() {
		t.Fatal("serves by one of three acceptors")
	}
	respond(controller, now, nonces, 1, confirmingResponse(8, 3))
	respond(controller, now, nonces, 2, &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 7})
	if serves() {
		t.Fatal("serves by an acceptor that has a newer document and one that confirms nothing")
	}
	controller.Receive(now, document(t, 8))
	controller.Ready()
	now = now.Add(time.Second)
	nonces = tickAndCollect(controller, now)
	respond(controller, now, nonces, 1, confirmingResponse(8, 2))
	respond(controller, now, nonces, 0, confirmingResponse(8, 3))
	if serves() {
		t.Fatal("serves by an acceptor of an older view")
	}
	respond(controller, now, nonces, 2, confirmingResponse(8, 3))
	if !serves() {
		t.Fatal("does not serve although a majority of the acceptors has confirmed")
	}
	if now = now.Add(lease.DaemonTTL); serves() {
		t.Fatal("serves beyond the end of the confirmed lease")
	}
}

// Confirmations of acceptors of two views must not be added up to a majority.
func TestANewViewEndsConfirmations(t *testing.T) {
	controller := newTestController(t, Settings{})
	now := started.Add(2 * time.Second)
	nonces := tickAndCollect(controller, now)
	respond(controller, now, nonces, 0, confirmingResponse(7, 3))
	controller.Receive(now, viewUpdate(viewOf(4)))
	respond(controller, now, nonces, 1, confirmingResponse(7, 4))
	if now.Before(controller.Until(now)) {
		t.Fatal("serves by one acceptor of each of two views")
	}
}

// grantLease lets the controller request a lease now and the head grant it at once.
func grantLease(controller *Controller, now time.Time) {
	nonces := tickAndCollect(controller, now)
	respond(controller, now, nonces, 0, &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 7, Granted: true})
}

// A daemon that reaches no control machine continues to serve for exactly the time that its settings allow. A daemon
// that receives a response without a grant and without a confirmation, or that learns of a newer document, stops at the
// end of its lease.
func TestServesWithoutAnyCore(t *testing.T) {
	const isolationLimit = 10 * time.Second
	cases := map[string]struct {
		isolationLimit time.Duration
		response       *wire.DaemonLeaseGrant
		to             time.Duration
	}{
		"no core responds": {isolationLimit: isolationLimit, to: lease.DaemonTTL + isolationLimit},
		"not allowed":      {to: lease.DaemonTTL},
		"a minority responds": {
			isolationLimit: isolationLimit,
			response:       &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 7},
			to:             lease.DaemonTTL,
		},
		"a starting machine responds": {
			isolationLimit: isolationLimit,
			response:       &wire.DaemonLeaseGrant{ViewEpoch: 3, Starting: true},
			to:             lease.DaemonTTL + isolationLimit,
		},
		"a starting machine knows something newer": {
			isolationLimit: isolationLimit,
			response:       &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 8, Starting: true},
			to:             lease.DaemonTTL,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			controller := newTestController(t, Settings{IsolationLimit: test.isolationLimit})
			start := started.Add(time.Second)
			grantLease(controller, start)
			for now := start; now.Before(start.Add(2*lease.DaemonTTL + isolationLimit)); now = now.Add(50 * time.Millisecond) {
				nonces := tickAndCollect(controller, now)
				if _, requested := nonces["c1"]; requested && test.response != nil {
					respond(controller, now, nonces, 1, proto.CloneOf(test.response))
				}
				since := now.Sub(start)
				if serves := now.Before(controller.Until(now)); serves != (since < test.to) {
					t.Fatalf("%v after the request: serves %v", since, serves)
				}
			}
		})
	}
}

// A daemon that was suspended has sent no requests meanwhile, so that missing responses do not show that it is
// isolated.
func TestASuspendedDaemonIsNotIsolated(t *testing.T) {
	controller := newTestController(t, Settings{IsolationLimit: time.Minute})
	grantLease(controller, started.Add(time.Second))
	now := started.Add(8 * time.Second)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves when it resumes")
	}
	tickAndCollect(controller, now)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves after one request")
	}
}

// A daemon that was suspended while it was isolated must not count as isolated when it resumes, as it has sent no
// requests while it was suspended. Found by verify/simulation.
func TestADaemonSuspendedWhileIsolatedIsNotIsolated(t *testing.T) {
	controller := newTestController(t, Settings{IsolationLimit: time.Minute})
	start := started.Add(time.Second)
	grantLease(controller, start)
	now := start
	for now.Before(start.Add(2 * lease.DaemonTTL)) {
		now = now.Add(50 * time.Millisecond)
		tickAndCollect(controller, now)
	}
	if !now.Before(controller.Until(now)) {
		t.Fatal("the daemon is not isolated, so the test checks nothing")
	}
	now = now.Add(5 * time.Second)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves when it resumes")
	}
	tickAndCollect(controller, now)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves after one request")
	}
}

// A restarted daemon has held no lease in its lifetime, so it must not serve in isolation.
func TestARestartedDaemonIsNotIsolated(t *testing.T) {
	controller := newTestController(t, Settings{IsolationLimit: time.Minute})
	for now := started; now.Before(started.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
		tickAndCollect(controller, now)
		if now.Before(controller.Until(now)) {
			t.Fatal("serves without ever having held a lease")
		}
	}
}

// A lease starts at its request and not at its response. It does not count if the head has a newer document or is of an
// older view, and a duplicate response does not extend it.
func TestLeasesCountFromTheirRequest(t *testing.T) {
	settings := Settings{Address: "d0", Zone: "a", Seeds: []string{"c0"}}
	controller := New(started, settings, rand.New(rand.NewSource(1)))
	controller.Receive(started, document(t, 7))
	requestFirst := func(now time.Time) uint64 {
		controller.Tick(now)
		for _, message := range controller.Ready() {
			if sent := message.Envelope.GetDaemonLeaseRequest(); sent != nil {
				return sent.Nonce
			}
		}
		t.Fatal("no request")
		return 0
	}
	grant := func(now time.Time, nonce, sequence, epoch uint64) {
		view := &wire.View{Epoch: epoch, Chain: []*wire.Member{{Id: "c", Address: "c0"}}}
		response := &wire.DaemonLeaseGrant{Nonce: nonce, Granted: true, Sequence: sequence, View: view}
		body := &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: response}
		controller.Receive(now, &wire.Envelope{From: "c0", Body: body})
	}
	first := requestFirst(started)
	grant(started.Add(time.Second), first, 8, 3)
	if now := started.Add(time.Second); now.Before(controller.Until(now)) {
		t.Fatal("serves although the head has a newer document")
	}
	second := requestFirst(started.Add(time.Second))
	late := started.Add(2 * time.Second)
	grant(late, second, 7, 2)
	if late.Before(controller.Until(late)) {
		t.Fatal("serves by a head of an older view")
	}
	third := requestFirst(late)
	late = late.Add(time.Second)
	grant(late, third, 7, 3)
	if until := controller.Until(late); !until.Equal(started.Add(2*time.Second + lease.DaemonTTL)) {
		t.Fatalf("serves until %v", until.Sub(started))
	}
	grant(late.Add(time.Second), third, 7, 3)
	if until := controller.Until(late); !until.Equal(started.Add(2*time.Second + lease.DaemonTTL)) {
		t.Fatal("a duplicate response extended the lease")
	}
}
