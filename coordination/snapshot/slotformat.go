package snapshot

import (
	"encoding/binary"
	"hash/crc32"
)

// A slot is its magic (4 bytes), generation (8), length of the snapshot (4), checksum (4) and the snapshot. Numbers are
// big-endian; the checksum is CRC-32C over all but itself.
const (
	slotMagic            = "WTS1"
	slotGenerationOffset = 4
	slotLengthOffset     = 12
	slotChecksumOffset   = 16
	slotHeaderLength     = 20
)

// MaximumRecord bounds a snapshot and a record in bytes, so that a torn length is never believed.
const MaximumRecord = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// slot is a decoded slot.
type slot struct {
	generation uint64
	snapshot   []byte
}

// EncodeSlot returns the bytes of a slot.
func EncodeSlot(generation uint64, snapshot []byte) []byte {
	content := append(make([]byte, 0, slotHeaderLength+len(snapshot)), slotMagic...)
	content = content[:slotHeaderLength]
	binary.BigEndian.PutUint64(content[slotGenerationOffset:], generation)
	binary.BigEndian.PutUint32(content[slotLengthOffset:], uint32(len(snapshot)))
	content = append(content, snapshot...)
	binary.BigEndian.PutUint32(content[slotChecksumOffset:], slotChecksum(content))
	return content
}

// decodeSlot decodes a slot; valid is false for anything torn, damaged or foreign.
func decodeSlot(content []byte) (decoded slot, valid bool) {
	if len(content) < slotHeaderLength || string(content[:len(slotMagic)]) != slotMagic {
		return slot{}, false
	}
	length := int(binary.BigEndian.Uint32(content[slotLengthOffset:]))
	if length > MaximumRecord || len(content) != slotHeaderLength+length {
		return slot{}, false
	}
	if slotChecksum(content) != binary.BigEndian.Uint32(content[slotChecksumOffset:]) {
		return slot{}, false
	}
	generation := binary.BigEndian.Uint64(content[slotGenerationOffset:])
	return slot{generation: generation, snapshot: content[slotHeaderLength:]}, true
}

func slotChecksum(content []byte) uint32 {
	checksum := crc32.Checksum(content[:slotChecksumOffset], castagnoli)
	return crc32.Update(checksum, castagnoli, content[slotHeaderLength:])
}
