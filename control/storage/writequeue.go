package storage

import (
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
)

// maximumBatch bounds the writes of one batch, and so the time for which a completion waits for its sync.
const maximumBatch = 256

// WriteQueue holds the writes that have not been started. It is bounded, and no write is executed after one that was
// dropped: after an overflow it rejects every write until a complete state is offered, which contains what was dropped.
// Offer must not be called concurrently; one other goroutine calls Run.
type WriteQueue struct {
	writes     chan statemachine.Write
	overflowed bool
}

// NewWriteQueue returns an empty queue that holds at most length writes.
func NewWriteQueue(length int) *WriteQueue {
	return &WriteQueue{writes: make(chan statemachine.Write, length)}
}

// Offer queues a write without blocking and reports whether it was accepted.
func (queue *WriteQueue) Offer(write statemachine.Write) bool {
	if queue.overflowed && write.Snapshot == nil {
		return false
	}
	select {
	case queue.writes <- write:
		queue.overflowed = false
		return true
	default:
		queue.overflowed = true
		return false
	}
}

// Run executes queued writes on a store, in batches, for as long as the process runs. It calls synced with the sequence
// of the last write that is synced, and failed with the cause of a failure, both from the calling goroutine.
func (queue *WriteQueue) Run(store *snapshot.Store, synced func(sequence uint64), failed func(err error)) {
	for first := range queue.writes {
		WriteBatch(store, queue.batch(first), synced, failed)
	}
}

// batch returns a write together with those queued behind it, up to maximumBatch.
func (queue *WriteQueue) batch(first statemachine.Write) []statemachine.Write {
	batch := []statemachine.Write{first}
	for len(queue.writes) > 0 && len(batch) < maximumBatch {
		batch = append(batch, <-queue.writes)
	}
	return batch
}
