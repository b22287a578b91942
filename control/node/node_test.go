package node

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/wire"
)

// Guards against an operator that receives the answer to another operator's request. The simulator found that a
// restarted machine numbered its requests from 1 again, so it matched the head's answer to a request of its earlier
// incarnation with a new one.
func TestRequestTokensOfTwoIncarnationsDiffer(t *testing.T) {
	t.Parallel()
	tokens := map[string]bool{}
	for incarnation := range 2 {
		node := New(time.Unix(0, 0), Settings{Address: "127.0.0.1:1", Zone: "a"}, &wire.DurableState{Id: "same"}, nil,
			rand.New(rand.NewSource(int64(incarnation))))
		answers := 0
		token := node.Submit(time.Unix(0, 0), &wire.OperatorRequest{Verb: "get"}, func(int, []byte) { answers++ })
		if tokens[token] {
			t.Fatalf("token %s was used by two incarnations", token)
		}
		tokens[token] = true
		// A response to a request that nobody made in this incarnation changes nothing.
		node.requests.HandleResponse(&wire.OperatorResponse{Token: "same/1", Status: 200, Body: []byte("{}")})
		if answers != 0 || node.requests.Count() != 1 {
			t.Fatal("the answer to a request of another incarnation was accepted")
		}
	}
	if len(tokens) != 2 {
		t.Fatalf("%d tokens", len(tokens))
	}
}

// pair is a node under test and another member, which sends only the messages that a test specifies.
type pair struct {
	node        *Node
	self, other *wire.Member
	now         time.Time
	// grants is the number of leases granted to daemons.
	grants int
}

// run advances the time. If otherAnswers is set, the other member acknowledges the complete history.
func (pair *pair) run(length time.Duration, otherAnswers bool) {
	for until := pair.now.Add(length); pair.now.Before(until); {
		pair.now = pair.now.Add(50 * time.Millisecond)
		pair.node.Tick(pair.now)
		// The other member sends heartbeats; without them a view without it would be agreed on.
		pair.receive(
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
			pair.receive(&wire.Envelope{
				Body: &wire.Envelope_ChainAck{ChainAck: &wire.ChainAck{View: 3, Synced: 5, Committed: 5}}})
		}
		for range 3 {
			pair.drain()
		}
	}
}

// receive delivers a message from the other member to the node.
func (pair *pair) receive(envelope *wire.Envelope) {
	envelope.From, envelope.Sender = pair.other.Address, pair.other.Id
	pair.node.Receive(pair.now, envelope)
}

// drain completes the node's writes, lets the other member grant every request for the leader's lease, and delivers the
// node's messages to itself.
func (pair *pair) drain() {
	messages, writes := pair.node.Ready()
	for _, write := range writes {
		pair.node.Synced(pair.now, write.Sequence)
	}
	for _, message := range messages {
		if grant := message.Envelope.GetDaemonLeaseGrant(); grant != nil && grant.Granted {
			pair.grants++
		}
		if request := message.Envelope.GetLeaderLeaseRequest(); request != nil && message.To == pair.other.Address {
			pair.receive(
				&wire.Envelope{
					Body: &wire.Envelope_LeaderLeaseGrant{
						LeaderLeaseGrant: &wire.LeaderLeaseGrant{View: request.View, Nonce: request.Nonce},
					},
				},
			)
		}
		if message.To == pair.self.Address {
			pair.node.Receive(pair.now, message.Envelope)
		}
	}
}

// Guards against a head that grants leases before the pending changes in its history are committed: an earlier head may
// have acknowledged them, so daemons without them must not get leases.
func TestHeadPromisesNothingBeforeItsHistoryIsCommitted(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	members := threeMembers()
	self, other := members[0], members[1]
	state := &wire.DurableState{
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
	node := New(now, Settings{Address: self.Address, Zone: "a"}, state, nil, rand.New(rand.NewSource(1)))
	pair := &pair{node: node, self: self, other: other, now: now}
	pair.run(4*time.Second, false)
	if !node.daemons.leadership.HoldsLease(pair.now) {
		t.Fatal("the node does not hold the lease, so the test checks nothing")
	}
	if node.IsLeading(pair.now) || pair.grants > 0 {
		t.Fatalf("before its history is committed: leads %v, granted %d leases", node.IsLeading(pair.now), pair.grants)
	}
	pair.run(time.Second, true)
	if !node.IsLeading(pair.now) || pair.grants == 0 {
		t.Fatalf("once its history is committed: leads %v, granted %d leases", node.IsLeading(pair.now), pair.grants)
	}
}
