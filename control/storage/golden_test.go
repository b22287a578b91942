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

// storedFolders holds data folders as earlier versions wrote them, by version; each stays as it is for good. Where what
// is stored gains fields, add a folder: raise presentFolder and run the tests with -update, which writes a folder only
// where there is none.
const (
	storedFolders = "testdata/stored"
	presentFolder = "v1"
)

// dataFiles are all files of a data folder that was replaced twice.
var dataFiles = []string{"log", "slot.0", "slot.1"}

// goldenMemory gives a memory with every field set, and a record of each kind.
func goldenMemory() (*wire.DurableState, []*wire.Record) {
	memory := golden.Variants((&wire.DurableState{}).ProtoReflect().Type())[0].Message.Interface().(*wire.DurableState)
	var records []*wire.Record
	for _, variant := range golden.Variants((&wire.Record{}).ProtoReflect().Type()) {
		records = append(records, variant.Message.Interface().(*wire.Record))
	}
	return memory, records
}

// writeData lets the present code write a first memory, then another, then records.
func writeData(t *testing.T, folder Folder, memory *wire.DurableState, records []*wire.Record) {
	t.Helper()
	restored, err := Restore(folder, identity, "mark")
	if err != nil {
		t.Fatal(err)
	}
	writes := []statemachine.Write{{Sequence: 1, Memory: memory}}
	for place, record := range records {
		writes = append(writes, statemachine.Write{Sequence: uint64(place) + 2, Record: record})
	}
	last := uint64(0)
	Carry(restored.Store, writes, func(sequence uint64) { last = sequence }, func(err error) { t.Fatal(err) })
	if last != uint64(len(writes)) {
		t.Fatalf("synced up to %d of %d", last, len(writes))
	}
}

// writePresentFolder writes the folder of this version where there is none yet; one that is there is never replaced.
func writePresentFolder(t *testing.T) {
	t.Helper()
	path := filepath.Join(storedFolders, presentFolder)
	if _, err := os.Stat(path); !golden.Updating() || err == nil {
		return
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		t.Fatal(err)
	}
	memory, records := goldenMemory()
	writeData(t, snapshot.Directory(path), memory, records)
}

// loaded gives a stored folder as a folder in memory, since reading one back changes it.
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

// text gives the memory and the records as the golden file of a folder holds them: their bytes, deterministically.
func text(t *testing.T, memory *wire.DurableState, records []*wire.Record) string {
	t.Helper()
	var lines strings.Builder
	add := func(name string, message proto.Message) {
		if golden.Unknown(message.ProtoReflect()) {
			t.Errorf("%s: holds fields that are unknown", name)
		}
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "%s %x\n", name, content)
	}
	add("memory", memory)
	for place, record := range records {
		add(fmt.Sprintf("record-%d", place), record)
	}
	return lines.String()
}

// What any version has stored is restored: the same memory and records, nothing unknown, nothing set aside.
func TestStoredFoldersStayReadable(t *testing.T) {
	writePresentFolder(t)
	versions, err := os.ReadDir(storedFolders)
	if err != nil || len(versions) == 0 {
		t.Fatalf("no stored folders: %v", err)
	}
	for _, version := range versions {
		t.Run(version.Name(), func(t *testing.T) {
			folder := loaded(t, version.Name())
			restored, err := Restore(folder, identity, "mark")
			if err != nil || restored.Fresh || restored.Lost != nil {
				t.Fatalf("fresh %v, lost %v, %v", restored.Fresh, restored.Lost, err)
			}
			golden.Compare(t, "stored-"+version.Name()+".txt", text(t, restored.Memory, restored.Records))
		})
	}
}

// The present code writes the folder of the present version byte for byte, so that a build of before can still read it.
func TestPresentFolderKeepsItsBytes(t *testing.T) {
	writePresentFolder(t)
	wanted := loaded(t, presentFolder)
	written := &memoryFolder{files: map[string][]byte{}}
	memory, records := goldenMemory()
	writeData(t, written, memory, records)
	for _, name := range dataFiles {
		if !slices.Equal(written.files[name], wanted.files[name]) {
			t.Errorf("%s: the present code writes other bytes", name)
		}
	}
	if len(written.files) != len(dataFiles) {
		t.Errorf("the present code writes %d files", len(written.files))
	}
}

// The folder of the present version holds all that memory and records can hold; a field that it lacks wants a new one.
func TestPresentFolderHoldsEveryField(t *testing.T) {
	restored, err := Restore(loaded(t, presentFolder), identity, "mark")
	if err != nil {
		t.Fatal(err)
	}
	memory, records := goldenMemory()
	if !proto.Equal(restored.Memory, memory) {
		t.Errorf("the memory is %v", restored.Memory)
	}
	if len(restored.Records) != len(records) {
		t.Fatalf("%d records of %d kinds", len(restored.Records), len(records))
	}
	for place, record := range records {
		if !proto.Equal(restored.Records[place], record) {
			t.Errorf("record %d is %v", place, restored.Records[place])
		}
	}
}
