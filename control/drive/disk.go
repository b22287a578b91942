// Package drive runs the pure state machines inside a process: it carries out their disk writes,
// ticks them, and holds the lock under which they step.
package drive

import (
	"google.golang.org/protobuf/proto"

	"wardtray/coordination/machine"
	"wardtray/coordination/snapshot"
	"wardtray/process/fault"
)

// Carry carries out writes in order on a store and tells of each that is synced. Records that come
// together are synced together. After a failure nothing more is written until a whole memory is.
func Carry(store *snapshot.Store, writes []machine.Write, synced func(sequence uint64), failed func(err error)) {
	var records [][]byte
	last, broken := uint64(0), false
	sync := func() {
		if len(records) == 0 || broken {
			return
		}
		if err := store.Append(records...); err != nil {
			broken = true
			failed(err)
			return
		}
		records = nil
		synced(last)
	}
	for _, write := range writes {
		if write.Sweep {
			sync()
			if err := store.Verify(); err != nil {
				broken = true
				failed(err)
			} else if !broken {
				synced(write.Sequence)
			}
			continue
		}
		if write.Memory != nil {
			sync()
			content, err := proto.Marshal(write.Memory)
			if err == nil {
				err = store.Replace(content)
			}
			if err != nil {
				broken = true
				failed(err)
				continue
			}
			records, broken = nil, false
			synced(write.Sequence)
			continue
		}
		content, err := proto.Marshal(write.Record)
		if err != nil {
			failed(fault.Wrap(err, fault.Internal, "encoding a record"))
			broken = true
			continue
		}
		records, last = append(records, content), write.Sequence
	}
	sync()
}
