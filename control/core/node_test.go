package core

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/wire"
)

// Found by the simulator: a machine that restarted numbered its questions from 1 again, and the head's
// answer to a question of its earlier life was given to another operator's change.
func TestQuestionsOfTwoLivesDiffer(t *testing.T) {
	tokens := map[string]bool{}
	for life := range 2 {
		node := New(time.Unix(0, 0), Startup{Address: "127.0.0.1:1", Zone: "a"}, &wire.Memory{Id: "same"}, nil, rand.New(rand.NewSource(int64(life))))
		answers := 0
		node.Ask(time.Unix(0, 0), &wire.OperatorAsk{Verb: "get"}, func(int, []byte) { answers++ })
		for token := range node.asks {
			if tokens[token] {
				t.Fatalf("token %s again", token)
			}
			tokens[token] = true
			// An answer to a question that nobody asked in this life changes nothing.
			node.onOperatorAnswer(&wire.OperatorAnswer{Token: "same/1", Status: 200, Body: []byte("{}")})
			if answers != 0 {
				t.Fatal("a stranger's answer was given")
			}
		}
	}
	if len(tokens) != 2 {
		t.Fatalf("%d tokens", len(tokens))
	}
}

// A head that found changes in its history which it does not know to be committed promises nothing:
// they may have been acknowledged by the head before it.
func TestHeadPromisesNothingBeforeItsHistoryIsCommitted(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self, other := &wire.Member{Id: "a", Address: "127.0.0.1:1", Zone: "a"}, &wire.Member{Id: "b", Address: "127.0.0.2:1", Zone: "b"}
	memory := &wire.Memory{Id: "a", View: &wire.View{Epoch: 3, Fleet: "f", Floor: 1, Chain: []*wire.Member{self, other}, Keepers: []*wire.Member{self, other, {Id: "c", Address: "127.0.0.3:1", Zone: "c"}}},
		Document: &wire.Document{Sequence: 4, SpecEpoch: 4, Directory: []*wire.Member{{Id: "d", Address: "d", Zone: "a"}}}, Pending: []*wire.Entry{{Sequence: 5, ChangesSpec: true, SpecEpoch: 5, Operation: "o"}}}
	node := New(now, Startup{Address: self.Address, Zone: "a"}, memory, nil, rand.New(rand.NewSource(1)))
	grants := 0
	run := func(until time.Time, otherAnswers bool) {
		for now.Before(until) {
			now = now.Add(50 * time.Millisecond)
			node.Tick(now)
			// The other lives, or a view without it would end the matter.
			node.Receive(now, &wire.Envelope{From: other.Address, Sender: "b", Body: &wire.Envelope_Beat{Beat: &wire.Beat{Member: other, View: 3, Fleet: "f", Heard: []string{"a", "b"}}}})
			node.Receive(now, &wire.Envelope{From: "d", Body: &wire.Envelope_TickAsk{TickAsk: &wire.TickAsk{Nonce: 1}}})
			if otherAnswers {
				node.Receive(now, &wire.Envelope{From: other.Address, Sender: "b", Body: &wire.Envelope_ChainHold{ChainHold: &wire.ChainHold{View: 3, Synced: 5, Committed: 5}}})
			}
			for round := 0; round < 3; round++ {
				parcels, writes := node.Drain()
				for _, write := range writes {
					node.Synced(now, write.Sequence)
				}
				for _, parcel := range parcels {
					if grant := parcel.Envelope.GetTickGrant(); grant != nil && grant.Granted {
						grants++
					}
					if asked := parcel.Envelope.GetClaimAsk(); asked != nil && parcel.To == other.Address {
						node.Receive(now, &wire.Envelope{From: other.Address, Sender: "b", Body: &wire.Envelope_ClaimGrant{ClaimGrant: &wire.ClaimGrant{View: asked.View, Nonce: asked.Nonce}}})
					}
					if parcel.To == self.Address {
						node.Receive(now, parcel.Envelope)
					}
				}
			}
		}
	}
	run(now.Add(4*time.Second), false)
	if !node.holder.Valid(now, 3) {
		t.Fatal("no claim, so that nothing was put to the test")
	}
	if node.Leading(now) || grants > 0 {
		t.Fatalf("leads %v, granted %d ticks", node.Leading(now), grants)
	}
	run(now.Add(time.Second), true)
	if !node.Leading(now) || grants == 0 {
		t.Fatalf("leads %v, granted %d ticks, once its history is committed", node.Leading(now), grants)
	}
}
