package node

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

// drainRunner registers a draining runner at a node that has received a message from the daemon "d". It returns the
// nonce of the update that the daemon gets, and a pointer to the outcome of the call, which is empty until the call
// returns.
func drainRunner(t *testing.T, node *Node, now time.Time, id string) (nonce uint64, outcome *registry.Outcome) {
	t.Helper()
	// A node that has received no message accepts no calls.
	node.Receive(now, &wire.Envelope{From: "d", Sender: "d", Body: &wire.Envelope_DaemonLeaseRequest{
		DaemonLeaseRequest: &wire.DaemonLeaseRequest{Nonce: 1}}})
	outcome = new(registry.Outcome)
	runner := &wire.Runner{RunnerId: id, Address: "10.0.0.1:" + id, State: registry.Draining, Call: 1}
	node.Register(now, runner, func(got registry.Outcome) { *outcome = got })
	messages, _ := node.Ready()
	for _, message := range messages {
		if update := message.Envelope.GetRunnerUpdate(); update != nil && message.To == "d" {
			return update.Nonce, outcome
		}
	}
	t.Fatalf("no update about %s for the daemon; the outcome is %q", id, *outcome)
	return 0, nil
}

// Guards against a runner that stops while a daemon still sends it requests. A paused daemon acknowledges an update of
// a control process that has ended meanwhile. The process that took over the address must not count this as an
// acknowledgement of its own update, which the daemon may never have received.
func TestAcknowledgementForAnEarlierIncarnationIsIgnored(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	start := func(seed int64) *Node {
		state := &wire.DurableState{Id: "same", Document: &wire.Document{Sequence: 1,
			Directory: []*wire.Member{{Id: "d", Address: "d"}}}}
		return New(now, Settings{Address: "127.0.0.1:1", Zone: "a"}, state, nil, rand.New(rand.NewSource(seed)))
	}
	acknowledge := func(node *Node, nonce uint64) {
		node.Receive(now, &wire.Envelope{From: "d", Sender: "d", Body: &wire.Envelope_RunnerUpdateAck{
			RunnerUpdateAck: &wire.RunnerUpdateAck{Nonce: nonce}}})
	}
	late, _ := drainRunner(t, start(1), now, "r1")
	node := start(2)
	own, outcome := drainRunner(t, node, now, "r2")
	acknowledge(node, late)
	if *outcome != "" {
		t.Fatalf("the call was answered with %q by an acknowledgement for an earlier incarnation", *outcome)
	}
	acknowledge(node, own)
	if *outcome != registry.Accepted {
		t.Fatalf("the call was answered with %q after the daemon's acknowledgement", *outcome)
	}
}
