package snapshot

import (
	"encoding/binary"
	"hash/crc32"
)

// A slot consists of the magic (4 bytes), the generation (8), the length of the snapshot (4), the checksum (4) and the
// snapshot. Numbers are big-endian; the checksum is the CRC-32C of everything but itself.
const (
	slotMagic            = "WTS1"
	slotGenerationOffset = 4
	slotLengthOffset     = 12
	slotChecksumOffset   = 16
	slotHeaderLength     = 20
)

// MaximumRecord is the maximum length of a snapshot or a record in bytes, so that the length in a torn header is not
// trusted.
const MaximumRecord = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// slot is a decoded slot.
type slot struct {
	generation uint64
	snapshot   []byte
}

// EncodeSlot returns the encoding of a slot.
func EncodeSlot(generation uint64, snapshot []byte) []byte {
	content := append(make([]byte, 0, slotHeaderLength+len(snapshot)), slotMagic...)
	content = content[:slotHeaderLength]
	binary.BigEndian.PutUint64(content[slotGenerationOffset:], generation)
	binary.BigEndian.PutUint32(content[slotLengthOffset:], uint32(len(snapshot)))
	content = append(content, snapshot...)
	binary.BigEndian.PutUint32(content[slotChecksumOffset:], slotChecksum(content))
	return content
}

// decodeSlot decodes a slot; valid is false if the content is torn, damaged or not a slot.
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
