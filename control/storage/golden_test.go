package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
	"wardtray/verify/golden"
	"wardtray/wire"
)

// storedFolders contains one data folder for each version of the stored format. A folder is never changed. When the
// stored format gains fields, raise currentVersion and run the tests with -update, which writes the folder of the
// current version if there is none.
const (
	storedFolders  = "testdata/stored"
	currentVersion = "v2"
)

// dataFiles are all files of a data folder whose complete state was written twice.
var dataFiles = []string{"log", "slot.0", "slot.1"}

// goldenState returns a state and one record of each kind, with every field set.
func goldenState(t *testing.T) (*wire.DurableState, []*wire.Record) {
	t.Helper()
	return filled[*wire.DurableState](t)[0], filled[*wire.Record](t)
}

// filled returns a message of a type with every field set, once for each alternative of its oneof.
func filled[Message proto.Message](t *testing.T) []Message {
	t.Helper()
	var empty Message
	variants := golden.Variants(empty.ProtoReflect().Type())
	messages := make([]Message, 0, len(variants))
	for _, variant := range variants {
		message, ok := variant.Message.Interface().(Message)
		if !ok {
			t.Fatalf("a filled message is a %T", variant.Message.Interface())
		}
		messages = append(messages, message)
	}
	return messages
}

// writeData has the current code write an initial state, a second state, and then the records.
func writeData(t *testing.T, folder Folder, state *wire.DurableState, records []*wire.Record) {
	t.Helper()
	recovery, err := Recover(folder, identity, "mark")
	if err != nil {
		t.Fatal(err)
	}
	writes := make([]statemachine.Write, 0, 1+len(records))
	writes = append(writes, statemachine.Write{Sequence: 1, Snapshot: state})
	for index, record := range records {
		writes = append(writes, statemachine.Write{Sequence: uint64(index) + 2, Record: record})
	}
	last := uint64(0)
	WriteBatch(recovery.Store, writes, func(sequence uint64) { last = sequence }, func(err error) { t.Fatal(err) })
	if last != uint64(len(writes)) {
		t.Fatalf("synced up to %d of %d", last, len(writes))
	}
}

// writeCurrentFolder writes the folder of the current version if there is none and the tests run with -update.
func writeCurrentFolder(t *testing.T) {
	t.Helper()
	path := filepath.Join(storedFolders, currentVersion)
	if _, err := os.Stat(path); !golden.Updating() || err == nil {
		return
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		t.Fatal(err)
	}
	state, records := goldenState(t)
	writeData(t, snapshot.Directory(path), state, records)
}

// loaded returns a copy of a stored folder in memory, since recovery changes the folder.
func loaded(t *testing.T, version string) *memoryFolder {
	t.Helper()
	folder := &memoryFolder{files: map[string][]byte{}}
	for _, name := range dataFiles {
		content, err := os.ReadFile(filepath.Join(storedFolders, version, name))
		if err != nil {
			t.Fatal(err)
		}
		folder.files[name] = content
	}
	return folder
}

// encoded returns the text of a golden file: the deterministic encodings of the state and of the records.
func encoded(t *testing.T, state *wire.DurableState, records []*wire.Record) string {
	t.Helper()
	var text strings.Builder
	add := func(name string, message proto.Message) {
		if golden.HasUnknownFields(message.ProtoReflect()) {
			t.Errorf("%s has unknown fields", name)
		}
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s %x\n", name, content)
	}
	add("memory", state)
	for index, record := range records {
		add(fmt.Sprintf("record-%d", index), record)
	}
	return text.String()
}

// The folder of every version is recovered completely: the same state and records, no unknown field, nothing set aside.
func TestStoredFoldersStayReadable(t *testing.T) {
	writeCurrentFolder(t)
	versions, err := os.ReadDir(storedFolders)
	if err != nil || len(versions) == 0 {
		t.Fatalf("no stored folders: %v", err)
	}
	for _, version := range versions {
		t.Run(version.Name(), func(t *testing.T) {
			folder := loaded(t, version.Name())
			recovery, err := Recover(folder, identity, "mark")
			if err != nil || recovery.HasNewIdentity || recovery.DiscardCause != nil {
				t.Fatalf("new identity %v, discard cause %v, error %v", recovery.HasNewIdentity, recovery.DiscardCause, err)
			}
			golden.Compare(t, "stored-"+version.Name()+".txt", encoded(t, recovery.State, recovery.Records))
		})
	}
}

// The current code writes exactly the bytes of the stored folder of its version, so that an older build of that version
// can read its data.
func TestPresentFolderKeepsItsBytes(t *testing.T) {
	writeCurrentFolder(t)
	wanted := loaded(t, currentVersion)
	written := &memoryFolder{files: map[string][]byte{}}
	state, records := goldenState(t)
	writeData(t, written, state, records)
	for _, name := range dataFiles {
		if !slices.Equal(written.files[name], wanted.files[name]) {
			t.Errorf("%s: the current code writes other bytes than the stored folder has", name)
		}
	}
	if len(written.files) != len(dataFiles) {
		t.Errorf("the current code writes %d files", len(written.files))
	}
}

// The folder of the current version has every field of states and records. A new field requires a new version.
func TestPresentFolderHoldsEveryField(t *testing.T) {
	recovery, err := Recover(loaded(t, currentVersion), identity, "mark")
	if err != nil {
		t.Fatal(err)
	}
	state, records := goldenState(t)
	if !proto.Equal(recovery.State, state) {
		t.Errorf("the recovered state is %v", recovery.State)
	}
	if len(recovery.Records) != len(records) {
		t.Fatalf("recovered %d records, want one of each of %d kinds", len(recovery.Records), len(records))
	}
	for index, record := range records {
		if !proto.Equal(recovery.Records[index], record) {
			t.Errorf("the recovered record %d is %v", index, recovery.Records[index])
		}
	}
}
