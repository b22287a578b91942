package storage

import (
	"testing"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Every write that was reported as synced is recovered, for each kind of write. After a failed write no later one is
// reported as synced.
func TestSyncedWritesAreRecovered(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}}
	recovery, err := Recover(folder, identity, "m")
	if err != nil {
		t.Fatal(err)
	}
	var synced []uint64
	write := func(writes ...statemachine.Write) {
		completed := func(sequence uint64) { synced = append(synced, sequence) }
		WriteBatch(recovery.Store, writes, completed, func(err error) { t.Log(err) })
	}
	member := []*wire.Member{{Id: "a"}}
	view := &wire.View{Epoch: 2, Chain: member, Acceptors: member}
	write(record(1), statemachine.Write{Sequence: 2, Scrub: true},
		statemachine.Write{Sequence: 3, Snapshot: &wire.DurableState{Id: "fresh", View: view}},
		statemachine.Write{Sequence: 4, Record: &wire.Record{Body: &wire.Record_ClearedTerm{ClearedTerm: 7}}})
	if len(synced) != 4 || synced[3] != 4 {
		t.Fatalf("the synced writes are %v, want the last to be 4", synced)
	}
	recovered, err := Recover(folder, identity, "m")
	if err != nil || recovered.HasNewIdentity || recovered.State.View.Epoch != 2 {
		t.Fatalf("error %v, recovered %+v", err, recovered)
	}
	if len(recovered.Records) != 1 || recovered.Records[0].GetClearedTerm() != 7 {
		t.Fatalf("the recovered records are %v", recovered.Records)
	}
	folder.full = true
	write(record(5), record(6))
	folder.full = false
	write(record(7))
	if len(synced) != 4 {
		t.Fatalf("the synced writes after a failed one are %v", synced)
	}
}
