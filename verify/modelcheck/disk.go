package modelcheck

import (
	"google.golang.org/protobuf/proto"

	"wardtray/control/durability"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// disk models a machine's data directory: a snapshot of the durable state and the records that follow it. A write is
// either carried out completely or lost; package snapshot tests torn and damaged files.
type disk struct {
	state   *wire.DurableState
	records []*wire.Record
	// operations are the changes that the disk holds, committed or not.
	operations map[string]bool
	// digest covers every write so far.
	digest digest
}

func newDisk() *disk { return &disk{operations: map[string]bool{}} }

// apply applies one write.
func (disk *disk) apply(write statemachine.Write) {
	disk.digest.add(write.Sequence)
	disk.digest.add(messageDigest(write.Snapshot))
	disk.digest.add(messageDigest(write.Record))
	if write.Snapshot != nil {
		disk.state, disk.records = proto.CloneOf(write.Snapshot), nil
		disk.indexOperations(disk.state.Document, disk.state.Pending)
	}
	if write.Record == nil {
		return
	}
	record := proto.CloneOf(write.Record)
	disk.records = append(disk.records, record)
	if entry := record.GetEntry(); entry != nil && entry.ChangesSpec {
		disk.operations[entry.Operation] = true
	}
	if document := record.GetDocument(); document != nil {
		disk.indexOperations(document, nil)
	}
}

func (disk *disk) indexOperations(document *wire.Document, pending []*wire.Entry) {
	disk.operations = map[string]bool{}
	for _, outcome := range document.GetOutcomes() {
		disk.operations[outcome.Operation] = true
	}
	for _, entry := range pending {
		if entry.ChangesSpec {
			disk.operations[entry.Operation] = true
		}
	}
}

// compact applies all records to the state.
func (disk *disk) compact() {
	if disk.state == nil {
		return
	}
	for _, record := range disk.records {
		durability.Replay(disk.state, record)
	}
	disk.records = nil
	disk.indexOperations(disk.state.Document, disk.state.Pending)
}

// messageDigest returns the digest of a message's deterministic encoding.
func messageDigest(message proto.Message) uint64 {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err)
	}
	return digestOf(string(content))
}
