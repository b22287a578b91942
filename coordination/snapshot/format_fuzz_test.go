package snapshot

import (
	"bytes"
	"testing"
)

func FuzzDecodeSlot(f *testing.F) {
	f.Add(EncodeSlot(7, []byte("memory")))
	f.Add([]byte("WTS1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		slot, valid := decodeSlot(content)
		if valid && !bytes.Equal(EncodeSlot(slot.generation, slot.snapshot), content) {
			t.Fatal("encoding the decoded slot gives other bytes")
		}
	})
}

func FuzzDecodeLog(f *testing.F) {
	f.Add(append(EncodeLogHeader(3), EncodeRecord([]byte("record"))...))
	f.Add(append(append(EncodeLogHeader(3), EncodeRecord([]byte("record"))...), 1, 2, 3))
	f.Fuzz(func(t *testing.T, content []byte) {
		log, err := decodeLog(content)
		if err != nil {
			return
		}
		encoded := EncodeLogHeader(log.generation)
		for _, record := range log.records {
			encoded = append(encoded, EncodeRecord(record)...)
		}
		if !bytes.Equal(encoded, content[:log.length]) {
			t.Fatal("encoding the decoded log gives other bytes")
		}
	})
}
