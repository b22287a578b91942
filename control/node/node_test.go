package node

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/wire"
)

// Found by the simulator: a machine that restarted numbered its questions from 1 again, and the head's
// answer to a question of its earlier life was given to another operator's change.
func TestQuestionsOfTwoIncarnationsDiffer(t *testing.T) {
	t.Parallel()
	tokens := map[string]bool{}
	for incarnation := range 2 {
		node := New(time.Unix(0, 0), Settings{Address: "127.0.0.1:1", Zone: "a"}, &wire.DurableState{Id: "same"}, nil,
			rand.New(rand.NewSource(int64(incarnation))))
		answers := 0
		token := node.Submit(time.Unix(0, 0), &wire.OperatorRequest{Verb: "get"}, func(int, []byte) { answers++ })
		if tokens[token] {
			t.Fatalf("token %s again", token)
		}
		tokens[token] = true
		// A response to a request that nobody made in this incarnation changes nothing.
		node.requests.HandleResponse(&wire.OperatorResponse{Token: "same/1", Status: 200, Body: []byte("{}")})
		if answers != 0 || node.requests.Count() != 1 {
			t.Fatal("a stranger's answer was given")
		}
	}
	if len(tokens) != 2 {
		t.Fatalf("%d tokens", len(tokens))
	}
}

// pair is a node under test beside another acceptor that only says what a test wants.
type pair struct {
	node        *Node
	self, other *wire.Member
	now         time.Time
	// grants counts the leases that daemons got.
	grants int
}

// run lets time pass; otherAnswers tells whether the other member says that it has the whole history.
func (pair *pair) run(length time.Duration, otherAnswers bool) {
	for until := pair.now.Add(length); pair.now.Before(until); {
		pair.now = pair.now.Add(50 * time.Millisecond)
		pair.node.Tick(pair.now)
		// The other lives, or a view without it would end the matter.
		pair.hear(
			&wire.Envelope{
				Body: &wire.Envelope_Heartbeat{
					Heartbeat: &wire.Heartbeat{Member: pair.other, View: 3, Fleet: "f", Reachable: []string{"a", "b"}},
				},
			},
		)
		pair.node.Receive(
			pair.now,
			&wire.Envelope{
				From: "d",
				Body: &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: &wire.DaemonLeaseRequest{Nonce: 1}},
			},
		)
		if otherAnswers {
			pair.hear(&wire.Envelope{Body: &wire.Envelope_ChainAck{ChainAck: &wire.ChainAck{View: 3, Synced: 5, Committed: 5}}})
		}
		for range 3 {
			pair.drain()
		}
	}
}

// hear lets the node receive a message from the other.
func (pair *pair) hear(envelope *wire.Envelope) {
	envelope.From, envelope.Sender = pair.other.Address, pair.other.Id
	pair.node.Receive(pair.now, envelope)
}

// drain carries out the node's writes; the other grants every claim, and what goes to the node itself comes to it.
func (pair *pair) drain() {
	messages, writes := pair.node.Ready()
	for _, write := range writes {
		pair.node.Synced(pair.now, write.Sequence)
	}
	for _, message := range messages {
		if grant := message.Envelope.GetDaemonLeaseGrant(); grant != nil && grant.Granted {
			pair.grants++
		}
		if asked := message.Envelope.GetLeaderLeaseRequest(); asked != nil && message.To == pair.other.Address {
			pair.hear(
				&wire.Envelope{
					Body: &wire.Envelope_LeaderLeaseGrant{
						LeaderLeaseGrant: &wire.LeaderLeaseGrant{View: asked.View, Nonce: asked.Nonce},
					},
				},
			)
		}
		if message.To == pair.self.Address {
			pair.node.Receive(pair.now, message.Envelope)
		}
	}
}

// A head that found changes in its history which it does not know to be committed promises nothing:
// they may have been acknowledged by the head before it.
func TestHeadPromisesNothingBeforeItsHistoryIsCommitted(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	members := threeMembers()
	self, other := members[0], members[1]
	memory := &wire.DurableState{
		Id: "a",
		View: &wire.View{
			Epoch:       3,
			Fleet:       "f",
			MinReplicas: 1,
			Chain:       []*wire.Member{self, other},
			Acceptors:   members,
		},
		Document: &wire.Document{
			Sequence:  4,
			SpecEpoch: 4,
			Directory: []*wire.Member{{Id: "d", Address: "d", Zone: "a"}},
		},
		Pending: []*wire.Entry{{Sequence: 5, ChangesSpec: true, SpecEpoch: 5, Operation: "o"}},
	}
	node := New(now, Settings{Address: self.Address, Zone: "a"}, memory, nil, rand.New(rand.NewSource(1)))
	pair := &pair{node: node, self: self, other: other, now: now}
	pair.run(4*time.Second, false)
	if !node.daemons.leadership.HoldsLease(pair.now) {
		t.Fatal("no claim, so that nothing was put to the test")
	}
	if node.IsLeading(pair.now) || pair.grants > 0 {
		t.Fatalf("leads %v, granted %d ticks", node.IsLeading(pair.now), pair.grants)
	}
	pair.run(time.Second, true)
	if !node.IsLeading(pair.now) || pair.grants == 0 {
		t.Fatalf("leads %v, granted %d ticks, once its history is committed", node.IsLeading(pair.now), pair.grants)
	}
}
