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
	goldenSnapshot   = "memory"
	goldenRecord     = "record"
)

// goldenBytes returns the bytes under a name in the golden file.
func goldenBytes(t *testing.T, name string) []byte {
	t.Helper()
	content, err := hex.DecodeString(golden.Lines(t, storedFile)[name])
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// The encodings of slots, log headers and records, including their checksums, must not change: stored data of earlier
// versions must stay readable.
func TestStoredPartsKeepTheirBytes(t *testing.T) {
	golden.Compare(t, storedFile, fmt.Sprintf("slot %x\nempty-slot %x\nlog-header %x\nrecord %x\n",
		EncodeSlot(goldenGeneration, []byte(goldenSnapshot)), EncodeSlot(1, nil),
		EncodeLogHeader(goldenGeneration), EncodeRecord([]byte(goldenRecord))))
}

// The encodings in the golden file must be decoded completely.
func TestGoldenPartsAreDecoded(t *testing.T) {
	filled, valid := decodeSlot(goldenBytes(t, "slot"))
	if filled.generation != goldenGeneration || string(filled.snapshot) != goldenSnapshot || !valid {
		t.Errorf("slot: generation %x, %q, valid %v", filled.generation, filled.snapshot, valid)
	}
	empty, valid := decodeSlot(goldenBytes(t, "empty-slot"))
	if empty.generation != 1 || len(empty.snapshot) > 0 || !valid {
		t.Errorf("empty slot: generation %x, %q, valid %v", empty.generation, empty.snapshot, valid)
	}
	record := goldenBytes(t, "record")
	content := append(append(goldenBytes(t, "log-header"), record...), record...)
	log, err := decodeLog(content)
	if err != nil || log.generation != goldenGeneration || log.length != len(content) || len(log.records) != 2 {
		t.Fatalf("log: generation %x, records %q, %d bytes, error %v", log.generation, log.records, log.length, err)
	}
	for _, read := range log.records {
		if string(read) != goldenRecord {
			t.Errorf("decoded record %q", read)
		}
	}
}
