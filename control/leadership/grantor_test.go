package leadership

import (
	"testing"
	"time"

	"wardtray/coordination/lease"
	"wardtray/wire"
)

func TestGrantorHandleRequest(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		self, sender string
		view         uint64
		cleared      uint64
		granted      bool
		updated      bool
	}{
		"the head":                  {"b", "a", 3, 2, true, false},
		"a member that is not head": {"b", "c", 3, 2, false, false},
		"a head of an older view":   {"b", "a", 2, 2, false, true},
		"a head of a newer view":    {"b", "a", 4, 2, false, false},
		"not an acceptor":           {"d", "a", 3, 2, false, false},
		"an earlier head may act":   {"b", "a", 3, 1, false, false},
	} {
		fixture := newFixture(test.self)
		witness := lease.NewWitness(time.Second)
		grantor := NewGrantor(start, test.self, fixture.agent, fixture.outbox, witness, test.cleared)
		envelope := &wire.Envelope{From: "a:1", Sender: test.sender}
		grantor.HandleRequest(start, envelope, &wire.LeaderLeaseRequest{View: test.view, Nonce: 7, Committed: 4})
		messages, _ := fixture.outbox.Drain()
		granted, updated := false, false
		for _, message := range messages {
			grant := message.Envelope.GetLeaderLeaseGrant()
			granted = granted || grant.GetNonce() == 7 && grant.KnownSequence == 4
			updated = updated || message.Envelope.GetViewUpdate() != nil
		}
		if granted != test.granted || updated != test.updated {
			t.Errorf("%s: lease granted %v, view sent %v", name, granted, updated)
		}
	}
}

func TestGrantorTick(t *testing.T) {
	t.Parallel()
	fixture := newFixture("b")
	grantor := NewGrantor(start, "b", fixture.agent, fixture.outbox, lease.NewWitness(time.Second), 1)
	grantor.Tick(start)
	if _, writes := fixture.outbox.Drain(); len(writes) != 0 || grantor.ClearedTerm() != 1 {
		t.Fatal("a term is recorded as cleared while an earlier head may still act")
	}
	later := start.Add(lease.LessorTTL)
	grantor.Tick(later)
	grantor.Tick(later)
	_, writes := fixture.outbox.Drain()
	if len(writes) != 1 || writes[0].Record.GetClearedTerm() != 2 || grantor.ClearedTerm() != 2 {
		t.Fatalf("%d writes, term %d", len(writes), grantor.ClearedTerm())
	}
}

func TestCeilMilliseconds(t *testing.T) {
	t.Parallel()
	for length, want := range map[time.Duration]uint32{0: 0, 1: 1, time.Millisecond: 1, time.Millisecond + 1: 2} {
		if got := ceilMilliseconds(length); got != want {
			t.Errorf("%v: got %d ms", length, got)
		}
	}
}
