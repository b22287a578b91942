package snapshot

import (
	"encoding/hex"
	"fmt"
	"testing"

	"wardtray/verify/golden"
)

const (
	storedFile       = "golden.txt"
	goldenGeneration = 0x0102030405060708
	goldenMemory     = "memory"
	goldenRecord     = "record"
)

// goldenBytes gives the bytes of a part as the golden file holds them.
func goldenBytes(t *testing.T, name string) []byte {
	t.Helper()
	content, err := hex.DecodeString(golden.Lines(t, storedFile)[name])
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Slots, headers of logs and records keep their bytes, checksums included.
func TestStoredPartsKeepTheirBytes(t *testing.T) {
	golden.Compare(t, storedFile, fmt.Sprintf("slot %x\nempty-slot %x\nlog-header %x\nrecord %x\n",
		EncodeSlot(goldenGeneration, []byte(goldenMemory)), EncodeSlot(1, nil),
		EncodeLogHeader(goldenGeneration), EncodeRecord([]byte(goldenRecord))))
}

// The parts of the golden file are read back whole.
func TestGoldenPartsAreUnderstood(t *testing.T) {
	generation, memory, whole := DecodeSlot(goldenBytes(t, "slot"))
	if generation != goldenGeneration || string(memory) != goldenMemory || !whole {
		t.Errorf("the slot: generation %x, %q, whole %v", generation, memory, whole)
	}
	if generation, memory, whole = DecodeSlot(goldenBytes(t, "empty-slot")); generation != 1 || len(memory) > 0 || !whole {
		t.Errorf("the empty slot: generation %x, %q, whole %v", generation, memory, whole)
	}
	record := goldenBytes(t, "record")
	log := append(append(goldenBytes(t, "log-header"), record...), record...)
	generation, records, length, err := DecodeLog(log)
	if err != nil || generation != goldenGeneration || length != len(log) || len(records) != 2 {
		t.Fatalf("the log: generation %x, %q, %d bytes, %v", generation, records, length, err)
	}
	for _, read := range records {
		if string(read) != goldenRecord {
			t.Errorf("a record: %q", read)
		}
	}
}
