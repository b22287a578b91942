package storage

import (
	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
)

// WriteBatch executes one batch of writes on a store, in order. It calls synced with the sequence of the last write
// that is synced, and failed with the cause of each failure, from the calling goroutine. Consecutive records are synced
// together. After a failure nothing more is written until a complete state follows in the batch.
func WriteBatch(
	store *snapshot.Store, writes []statemachine.Write, synced func(sequence uint64), failed func(err error),
) {
	writer := &batchWriter{store: store, synced: synced, failed: failed}
	for _, write := range writes {
		switch {
		case write.Scrub:
			writer.scrub(write)
		case write.Snapshot != nil:
			writer.saveSnapshot(write)
		default:
			writer.add(write)
		}
	}
	writer.flush()
}

// batchWriter executes one batch of writes.
type batchWriter struct {
	store  *snapshot.Store
	synced func(sequence uint64)
	failed func(err error)
	// pending are the encoded records to be synced together, lastSequence is the sequence of the last one.
	pending      [][]byte
	lastSequence uint64
	// broken is set by a failure: nothing more is written until a complete state is written.
	broken bool
}

// fail reports an error and stops further writes.
func (writer *batchWriter) fail(err error) {
	writer.broken = true
	writer.failed(err)
}

// flush appends the pending records to the log with one sync.
func (writer *batchWriter) flush() {
	if len(writer.pending) == 0 || writer.broken {
		return
	}
	if err := writer.store.Append(writer.pending...); err != nil {
		writer.fail(err)
		return
	}
	writer.pending = nil
	writer.synced(writer.lastSequence)
}

// scrub reads back everything on disk and compares it with the expected content.
func (writer *batchWriter) scrub(write statemachine.Write) {
	writer.flush()
	if err := writer.store.Scrub(); err != nil {
		writer.fail(err)
	} else if !writer.broken {
		writer.synced(write.Sequence)
	}
}

// saveSnapshot writes a complete state, which repairs whatever failed before.
func (writer *batchWriter) saveSnapshot(write statemachine.Write) {
	writer.flush()
	content, err := proto.Marshal(write.Snapshot)
	if err == nil {
		err = writer.store.SaveSnapshot(content)
	}
	if err != nil {
		writer.fail(err)
		return
	}
	// The state contains the records that could not be appended.
	writer.pending, writer.broken = nil, false
	writer.synced(write.Sequence)
}

// add encodes a record and leaves it pending until the next flush.
func (writer *batchWriter) add(write statemachine.Write) {
	content, err := proto.Marshal(write.Record)
	if err != nil {
		writer.fail(apierror.Wrap(err, apierror.Internal, "encoding a record"))
		return
	}
	writer.pending, writer.lastSequence = append(writer.pending, content), write.Sequence
}
