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

// A write dropped by a full queue must not be followed by a later one: a completion stands for all before it.
func TestWriteQueueRejectsWritesBehindADroppedOne(t *testing.T) {
	queue := NewWriteQueue(2)
	if !queue.Offer(record(1)) || !queue.Offer(record(2)) || queue.Offer(record(3)) {
		t.Fatal("the bound")
	}
	if batch := queue.batch(<-queue.writes); len(batch) != 2 || batch[0].Sequence != 1 || batch[1].Sequence != 2 {
		t.Fatalf("the batch is %v", batch)
	}
	if queue.Offer(record(4)) {
		t.Fatal("a write passed a dropped one")
	}
	if !queue.Offer(statemachine.Write{Sequence: 5, Snapshot: &wire.DurableState{}}) || !queue.Offer(record(6)) {
		t.Fatal("a complete state did not repair it")
	}
}

// A batch has a bound, so that a completion does not wait for an endless backlog.
func TestWriteQueueBatchIsBounded(t *testing.T) {
	queue := NewWriteQueue(2 * maximumBatch)
	for sequence := range uint64(2 * maximumBatch) {
		if !queue.Offer(record(sequence)) {
			t.Fatalf("write %d was rejected", sequence)
		}
	}
	if batch := queue.batch(<-queue.writes); len(batch) != maximumBatch {
		t.Errorf("%d writes in a batch", len(batch))
	}
}

// Run carries out what is queued and reports its last sequence, and a failure where the disk is full.
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
		t.Errorf("write %d is synced", sequence)
	}
	folder.full = true
	queue.Offer(record(2))
	if err := <-failed; !errors.Is(err, errFull) {
		t.Errorf("the failure is %v", err)
	}
	close(queue.writes)
	<-finished
	if len(synced) != 0 {
		t.Errorf("write %d is synced on a full disk", <-synced)
	}
}
