package storage

import (
	"errors"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/control/node"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// memoryFolder is a data folder in memory; full, it refuses every write.
type memoryFolder struct {
	files map[string][]byte
	full  bool
}

var errFull = errors.New("no space left")

func (folder *memoryFolder) Read(name string) ([]byte, bool, error) {
	content, found := folder.files[name]
	return append([]byte{}, content...), found, nil
}

func (folder *memoryFolder) Put(name string, content []byte) error {
	if folder.full {
		return errFull
	}
	folder.files[name] = append([]byte{}, content...)
	return nil
}

func (folder *memoryFolder) Append(name string, content []byte) error {
	return folder.Put(name, append(append([]byte{}, folder.files[name]...), content...))
}

func (folder *memoryFolder) Rename(from, to string) error {
	if folder.full {
		return errFull
	}
	folder.files[to] = folder.files[from]
	delete(folder.files, from)
	return nil
}

func (folder *memoryFolder) Truncate(name string, length int64) error {
	return folder.Put(name, folder.files[name][:length])
}

func (folder *memoryFolder) SetAside(string) error {
	folder.files = map[string][]byte{}
	return nil
}

func identity() string { return "fresh" }

// A start waits for a full disk, up to a bound, and gives nothing out that the disk would not keep.
func TestRestoreWaitsForTheDisk(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}}
	if _, err := Restore(folder, identity, "m"); err != nil {
		t.Fatal(err)
	}
	folder.full = true
	tries := 0
	restored, err := RestoreWithin(time.Minute, func() (Recovery, error) {
		if tries++; tries == 3 {
			folder.full = false
		}
		return Restore(folder, func() string { return "another" }, "m")
	})
	if err != nil || tries != 3 || restored.Memory.Id != "fresh" || restored.Fresh {
		t.Fatalf("%v after %d tries: %+v", err, tries, restored)
	}
	folder.full = true
	if _, err := RestoreWithin(0, func() (Recovery, error) { return Restore(folder, identity, "m") }); !apierror.Is(err, apierror.DiskFailed) {
		t.Fatalf("a full disk: %v", err)
	}
}

// What was carried out comes back, whatever else the writes were.
func TestCarriedWritesComeBack(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}}
	restored, err := Restore(folder, identity, "m")
	if err != nil {
		t.Fatal(err)
	}
	var synced []uint64
	carry := func(writes ...statemachine.Write) {
		Carry(restored.Store, writes, func(sequence uint64) { synced = append(synced, sequence) }, func(err error) { t.Log(err) })
	}
	member := []*wire.Member{{Id: "a"}}
	carry(record(1), statemachine.Write{Sequence: 2, Sweep: true},
		statemachine.Write{Sequence: 3, Memory: &wire.DurableState{Id: "fresh", View: &wire.View{Epoch: 2, Chain: member, Acceptors: member}}},
		statemachine.Write{Sequence: 4, Record: &wire.Record{Body: &wire.Record_ClearedTerm{ClearedTerm: 7}}})
	if len(synced) != 4 || synced[3] != 4 {
		t.Fatalf("synced %v", synced)
	}
	again, err := Restore(folder, identity, "m")
	if err != nil || again.Fresh || again.Memory.View.Epoch != 2 || len(again.Records) != 1 || again.Records[0].GetClearedTerm() != 7 {
		t.Fatalf("%v: %+v", err, again)
	}
	folder.full = true
	carry(record(5), record(6))
	folder.full = false
	carry(record(7))
	if len(synced) != 4 {
		t.Fatalf("synced %v after a failed write", synced)
	}
}

// Whatever memory and records a disk holds under good checksums, the machine restores it and runs, or joins anew.
func FuzzRestore(fuzz *testing.F) {
	encode := func(message proto.Message) []byte {
		content, err := proto.Marshal(message)
		if err != nil {
			fuzz.Fatal(err)
		}
		return content
	}
	member := []*wire.Member{{Id: "a", Address: "127.0.0.1:1", Zone: "a"}}
	view := &wire.View{Epoch: 3, Fleet: "f", MinReplicas: 1, Chain: member, Acceptors: member}
	entry := &wire.Entry{Sequence: 5, ChangesSpec: true, SpecEpoch: 5, Operation: "o", Spec: []byte("{}")}
	fuzz.Add(encode(&wire.DurableState{Id: "a", View: view, Document: &wire.Document{Sequence: 4, SpecEpoch: 4}, Pending: []*wire.Entry{entry}, AcceptorState: &wire.AcceptorState{Instance: 4}}),
		encode(&wire.Record{Body: &wire.Record_View{View: view}}), encode(&wire.Record{Body: &wire.Record_Entry{Entry: entry}}))
	fuzz.Add(encode(&wire.DurableState{Id: "a"}), encode(&wire.Record{Body: &wire.Record_Document{Document: &wire.Document{Sequence: 9, Outcomes: []*wire.Outcome{{Operation: "o"}}}}}),
		encode(&wire.Record{Body: &wire.Record_AcceptorState{AcceptorState: &wire.AcceptorState{Instance: 1, Value: view}}}))
	fuzz.Add([]byte{}, []byte{1}, []byte{2})
	fuzz.Fuzz(func(t *testing.T, memory, first, second []byte) {
		log := snapshot.EncodeLogHeader(1)
		for _, content := range [][]byte{first, second} {
			if len(content) > 0 {
				log = append(log, snapshot.EncodeRecord(content)...)
			}
		}
		folder := &memoryFolder{files: map[string][]byte{"slot.1": snapshot.EncodeSlot(1, memory), "log": log}}
		restored, err := Restore(folder, identity, "m")
		if err != nil {
			t.Fatal(err)
		}
		if restored.Fresh != (restored.Lost != nil) {
			t.Fatalf("fresh %v, lost %v", restored.Fresh, restored.Lost)
		}
		now := time.Unix(1_700_000_000, 0)
		control := node.New(now, node.Settings{Address: "127.0.0.1:1", Zone: "a"}, restored.Memory, restored.Records, rand.New(rand.NewSource(1)))
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			control.Tick(now)
			_, writes := control.Drain()
			Carry(restored.Store, writes, func(sequence uint64) { control.Synced(now, sequence) }, func(err error) { t.Fatal(err) })
		}
	})
}
