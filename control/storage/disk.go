// Package drive runs the pure state machines inside a process: it carries out their disk writes,
// ticks them, and holds the lock under which they step.
package storage

import (
	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
)

// carrier carries out one batch of writes.
type carrier struct {
	store  *snapshot.Store
	synced func(sequence uint64)
	failed func(err error)
	// records are those that wait to be synced together; last is the sequence of the last of them.
	records [][]byte
	last    uint64
	// broken tells that something failed; nothing more is written until a whole memory is.
	broken bool
}

// Carry carries out writes in order on a store and tells of each that is synced. Records that come
// together are synced together. After a failure nothing more is written until a whole memory is.
func Carry(store *snapshot.Store, writes []statemachine.Write, synced func(sequence uint64), failed func(err error)) {
	carrier := &carrier{store: store, synced: synced, failed: failed}
	for _, write := range writes {
		if write.Sweep {
			carrier.sweep(write)
		} else if write.Memory != nil {
			carrier.replace(write)
		} else {
			carrier.add(write)
		}
	}
	carrier.sync()
}

// fail takes down an error.
func (carrier *carrier) fail(err error) {
	carrier.broken = true
	carrier.failed(err)
}

// sync appends the records that wait.
func (carrier *carrier) sync() {
	if len(carrier.records) == 0 || carrier.broken {
		return
	}
	if err := carrier.store.Append(carrier.records...); err != nil {
		carrier.fail(err)
		return
	}
	carrier.records = nil
	carrier.synced(carrier.last)
}

// sweep reads all that is on disk.
func (carrier *carrier) sweep(write statemachine.Write) {
	carrier.sync()
	if err := carrier.store.Verify(); err != nil {
		carrier.fail(err)
	} else if !carrier.broken {
		carrier.synced(write.Sequence)
	}
}

// replace writes a whole memory, which mends what failed before.
func (carrier *carrier) replace(write statemachine.Write) {
	carrier.sync()
	content, err := proto.Marshal(write.Memory)
	if err == nil {
		err = carrier.store.Replace(content)
	}
	if err != nil {
		carrier.fail(err)
		return
	}
	carrier.records, carrier.broken = nil, false
	carrier.synced(write.Sequence)
}

// add lets a record wait for the next sync.
func (carrier *carrier) add(write statemachine.Write) {
	content, err := proto.Marshal(write.Record)
	if err != nil {
		carrier.fail(apierror.Wrap(err, apierror.Internal, "encoding a record"))
		return
	}
	carrier.records, carrier.last = append(carrier.records, content), write.Sequence
}
