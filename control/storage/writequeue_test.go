package storage

import (
	"errors"
	"testing"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func record(sequence uint64) statemachine.Write {
	view := &wire.View{Epoch: sequence}
	return statemachine.Write{Sequence: sequence, Record: &wire.Record{Body: &wire.Record_View{View: view}}}
}

// After a full queue has dropped a write it must not accept a later one: the completion of a write covers all writes
// before it, and so would cover the dropped one.
func TestWriteQueueRejectsWritesBehindADroppedOne(t *testing.T) {
	queue := NewWriteQueue(2)
	if !queue.Offer(record(1)) || !queue.Offer(record(2)) || queue.Offer(record(3)) {
		t.Fatal("the queue does not accept exactly as many writes as its length")
	}
	if batch := queue.batch(<-queue.writes); len(batch) != 2 || batch[0].Sequence != 1 || batch[1].Sequence != 2 {
		t.Fatalf("the batch is %v, want the writes 1 and 2", batch)
	}
	if queue.Offer(record(4)) {
		t.Fatal("a write was accepted after a dropped one")
	}
	if !queue.Offer(statemachine.Write{Sequence: 5, Snapshot: &wire.DurableState{}}) || !queue.Offer(record(6)) {
		t.Fatal("a complete state, or a write after it, was rejected")
	}
}

// A batch is bounded, so that a completion does not wait until a long backlog is written.
func TestWriteQueueBatchIsBounded(t *testing.T) {
	queue := NewWriteQueue(2 * maximumBatch)
	for sequence := range uint64(2 * maximumBatch) {
		if !queue.Offer(record(sequence)) {
			t.Fatalf("write %d was rejected", sequence)
		}
	}
	if batch := queue.batch(<-queue.writes); len(batch) != maximumBatch {
		t.Errorf("a batch has %d writes", len(batch))
	}
}

// Run executes the queued writes and reports the last synced sequence; on a full disk it reports the failure instead.
func TestWriteQueueRun(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}}
	recovery, err := Recover(folder, identity, "mark")
	if err != nil {
		t.Fatal(err)
	}
	queue := NewWriteQueue(8)
	synced, failed, finished := make(chan uint64, 8), make(chan error, 8), make(chan struct{})
	go func() {
		queue.Run(recovery.Store, func(sequence uint64) { synced <- sequence }, func(err error) { failed <- err })
		close(finished)
	}()
	queue.Offer(record(1))
	if sequence := <-synced; sequence != 1 {
		t.Errorf("write %d is reported as synced, want write 1", sequence)
	}
	folder.full = true
	queue.Offer(record(2))
	if err := <-failed; !errors.Is(err, errFull) {
		t.Errorf("the failure is %v, want that of the full disk", err)
	}
	close(queue.writes)
	<-finished
	if len(synced) != 0 {
		t.Errorf("write %d is reported as synced on a full disk", <-synced)
	}
}
