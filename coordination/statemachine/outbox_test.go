package statemachine

import (
	"slices"
	"testing"
	"time"

	"wardtray/wire"
)

// A completed write completes every earlier one, in the order of the requests, and each only once.
func TestDoneCompletesEarlierWritesInOrder(t *testing.T) {
	now, outbox := time.Unix(1_700_000_000, 0), NewOutbox()
	var completed []int
	note := func(number int) func(time.Time) {
		return func(time.Time) { completed = append(completed, number) }
	}
	outbox.Persist(now, &wire.Record{}, note(1))
	outbox.Persist(now, &wire.Record{}, note(2))
	outbox.PersistSnapshot(now, &wire.DurableState{}, note(3))
	outbox.Persist(now, &wire.Record{}, note(4))
	_, writes := outbox.Drain()
	outbox.Done(now, writes[2].Sequence)
	outbox.Done(now, writes[2].Sequence)
	if want := []int{1, 2, 3}; !slices.Equal(completed, want) {
		t.Fatalf("completed %v, want %v", completed, want)
	}
}

func TestOldestIsTheWaitOfTheFirstPendingWrite(t *testing.T) {
	now, outbox := time.Unix(1_700_000_000, 0), NewOutbox()
	if wait := outbox.OldestWait(now); wait != 0 {
		t.Fatalf("nothing is pending, but the oldest write has waited %v", wait)
	}
	outbox.Persist(now, &wire.Record{}, func(time.Time) {})
	outbox.Scrub(now.Add(time.Second))
	_, writes := outbox.Drain()
	if wait := outbox.OldestWait(now.Add(3 * time.Second)); wait != 3*time.Second {
		t.Fatalf("the oldest write has waited %v", wait)
	}
	outbox.Done(now.Add(3*time.Second), writes[0].Sequence)
	if wait := outbox.OldestWait(now.Add(3 * time.Second)); wait != 2*time.Second {
		t.Fatalf("the oldest write that is left has waited %v", wait)
	}
}
