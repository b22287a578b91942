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
	appendNumber := func(number int) func(time.Time) {
		return func(time.Time) { completed = append(completed, number) }
	}
	outbox.Persist(now, &wire.Record{}, appendNumber(1))
	outbox.Persist(now, &wire.Record{}, appendNumber(2))
	outbox.PersistSnapshot(now, &wire.DurableState{}, appendNumber(3))
	outbox.Persist(now, &wire.Record{}, appendNumber(4))
	_, writes := outbox.Drain()
	outbox.Done(now, writes[2].Sequence)
	outbox.Done(now, writes[2].Sequence)
	if want := []int{1, 2, 3}; !slices.Equal(completed, want) {
		t.Fatalf("completed %v, want %v", completed, want)
	}
}

// OldestWait is the time since the first pending write was requested. Drivers detect a stalled disk by it.
func TestOldestIsTheWaitOfTheFirstPendingWrite(t *testing.T) {
	now, outbox := time.Unix(1_700_000_000, 0), NewOutbox()
	if wait := outbox.OldestWait(now); wait != 0 {
		t.Fatalf("OldestWait is %v without a pending write, want 0", wait)
	}
	outbox.Persist(now, &wire.Record{}, func(time.Time) {})
	outbox.Scrub(now.Add(time.Second))
	_, writes := outbox.Drain()
	if wait := outbox.OldestWait(now.Add(3 * time.Second)); wait != 3*time.Second {
		t.Fatalf("OldestWait is %v, want 3s", wait)
	}
	outbox.Done(now.Add(3*time.Second), writes[0].Sequence)
	if wait := outbox.OldestWait(now.Add(3 * time.Second)); wait != 2*time.Second {
		t.Fatalf("OldestWait is %v after the first write has completed, want 2s", wait)
	}
}
