package registry

import (
	"testing"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const heartbeat = time.Second

// testNode is a control node's registrar with its outbox and the state of its environment.
type testNode struct {
	t         *testing.T
	outbox    *statemachine.Outbox
	registrar *Registrar
	daemons   []string
	hearsMost bool
	isolated  bool
	now       time.Time
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	node := &testNode{
		t: t, outbox: statemachine.NewOutbox(), daemons: []string{"d0", "d1"}, hearsMost: true, now: startTime,
	}
	node.registrar = NewRegistrar(startTime, heartbeat, 7, node.outbox, Environment{
		Daemons:               func(time.Time) []string { return node.daemons },
		ControlNodes:          func() []string { return []string{"c1"} },
		HearsMostControlNodes: func(time.Time) bool { return node.hearsMost },
		IsIsolated:            func(time.Time) bool { return node.isolated },
	})
	return node
}

func ready(id string, call uint64) *wire.Runner {
	return &wire.Runner{
		RunnerId: id, Address: "10.0.0.1:" + id[1:], Zone: "a", Service: "s", Slots: 4, State: Ready, Call: call,
	}
}

// draining returns a record of the runner r1 in the state Draining.
func draining(call uint64) *wire.Runner {
	record := ready("r1", call)
	record.State = Draining
	return record
}

// register handles a call; the returned value is set once the call has its outcome.
func (node *testNode) register(record *wire.Runner) *Outcome {
	got := new(Outcome)
	node.registrar.Register(node.now, record, func(outcome Outcome) {
		if *got != "" {
			node.t.Error("two responses to one call")
		}
		*got = outcome
	})
	return got
}

// advance advances the time with a tick every 50 ms; messages stay in the outbox.
func (node *testNode) advance(duration time.Duration) {
	for end := node.now.Add(duration); node.now.Before(end); {
		node.now = node.now.Add(50 * time.Millisecond)
		node.registrar.Tick(node.now)
	}
}

// drainUpdates returns the updates sent to each address since its last call.
func (node *testNode) drainUpdates() map[string][]*wire.RunnerUpdate {
	updates := map[string][]*wire.RunnerUpdate{}
	messages, _ := node.outbox.Drain()
	for _, message := range messages {
		if update := message.Envelope.GetRunnerUpdate(); update != nil {
			updates[message.To] = append(updates[message.To], update)
		}
	}
	return updates
}

func (node *testNode) acknowledge(from string, nonce uint64) {
	node.registrar.HandleAck(node.now, from, &wire.RunnerUpdateAck{Nonce: nonce})
}

func (node *testNode) state(id string) string { return node.registrar.Record(id).GetState() }
