package storage

import (
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/control/node"
	"wardtray/coordination/snapshot"
	"wardtray/wire"
)

func identity() string { return "fresh" }

// RecoverWithin retries while the disk is full and fails once its timeout is over. A state that the disk cannot store
// is never returned: the node would vote under an identity that it could lose.
func TestRestoreWithinWaitsForTheDisk(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}}
	if _, err := Recover(folder, identity, "m"); err != nil {
		t.Fatal(err)
	}
	folder.full = true
	attempts := 0
	recovery, err := RecoverWithin(time.Minute, func() (Recovery, error) {
		if attempts++; attempts == 3 {
			folder.full = false
		}
		return Recover(folder, func() string { return "another" }, "m")
	})
	if err != nil || attempts != 3 || recovery.State.Id != "fresh" || recovery.HasNewIdentity {
		t.Fatalf("error %v after %d attempts: %+v", err, attempts, recovery)
	}
	folder.full = true
	_, err = RecoverWithin(0, func() (Recovery, error) { return Recover(folder, identity, "m") })
	if !apierror.Is(err, apierror.DiskFailed) {
		t.Fatalf("a full disk: error %v, want the code DiskFailed", err)
	}
}

// For any state and records with valid checksums on the disk, recovery succeeds and the node runs: with them, or with a
// new identity.
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
	fuzz.Add(
		encode(&wire.DurableState{
			Id:            "a",
			View:          view,
			Document:      &wire.Document{Sequence: 4, SpecEpoch: 4},
			Pending:       []*wire.Entry{entry},
			AcceptorState: &wire.AcceptorState{Instance: 4},
		}),
		encode(&wire.Record{Body: &wire.Record_View{View: view}}),
		encode(&wire.Record{Body: &wire.Record_Entry{Entry: entry}}),
	)
	document := &wire.Document{Sequence: 9, Outcomes: []*wire.Outcome{{Operation: "o"}}}
	acceptor := &wire.AcceptorState{Instance: 1, Value: view}
	fuzz.Add(
		encode(&wire.DurableState{Id: "a"}),
		encode(&wire.Record{Body: &wire.Record_Document{Document: document}}),
		encode(&wire.Record{Body: &wire.Record_AcceptorState{AcceptorState: acceptor}}),
	)
	fuzz.Add([]byte{}, []byte{1}, []byte{2})
	fuzz.Fuzz(func(t *testing.T, state, first, second []byte) {
		log := snapshot.EncodeLogHeader(1)
		for _, content := range [][]byte{first, second} {
			if len(content) > 0 {
				log = append(log, snapshot.EncodeRecord(content)...)
			}
		}
		folder := &memoryFolder{files: map[string][]byte{"slot.1": snapshot.EncodeSlot(1, state), "log": log}}
		recovery, err := Recover(folder, identity, "m")
		if err != nil {
			t.Fatal(err)
		}
		if recovery.HasNewIdentity != (recovery.DiscardCause != nil) {
			t.Fatalf("new identity %v, discard cause %v", recovery.HasNewIdentity, recovery.DiscardCause)
		}
		now := time.Unix(1_700_000_000, 0)
		settings := node.Settings{Address: "127.0.0.1:1", Zone: "a"}
		control := node.New(now, settings, recovery.State, recovery.Records, rand.New(rand.NewSource(1)))
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			control.Tick(now)
			_, writes := control.Ready()
			synced := func(sequence uint64) { control.Synced(now, sequence) }
			WriteBatch(recovery.Store, writes, synced, func(err error) { t.Fatal(err) })
		}
	})
}
