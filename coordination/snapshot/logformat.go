package snapshot

import (
	"encoding/binary"
	"hash/crc32"

	"wardtray/apierror"
)

// A log consists of a header and records. The header is the magic (4 bytes), the generation (8) and the checksum of
// both (4). A record is its length (4), the checksum of length and content (4) and its content. Numbers are big-endian;
// checksums are CRC-32C.
const (
	logMagic             = "WTL1"
	logGenerationOffset  = 4
	logChecksumOffset    = 12
	logHeaderLength      = 16
	recordChecksumOffset = 4
	recordHeaderLength   = 8
)

// log is a decoded log.
type log struct {
	generation uint64
	records    [][]byte
	// length is the length of the valid part in bytes. What follows is a torn write that was never synced.
	length int
}

// EncodeLogHeader returns the header of a log.
func EncodeLogHeader(generation uint64) []byte {
	header := append([]byte(logMagic), make([]byte, logHeaderLength-len(logMagic))...)
	binary.BigEndian.PutUint64(header[logGenerationOffset:], generation)
	binary.BigEndian.PutUint32(header[logChecksumOffset:], crc32.Checksum(header[:logChecksumOffset], castagnoli))
	return header
}

// EncodeRecord returns the encoding of one record of a log.
func EncodeRecord(record []byte) []byte {
	return appendRecord(make([]byte, 0, recordHeaderLength+len(record)), record)
}

func appendRecord(content, record []byte) []byte {
	length := binary.BigEndian.AppendUint32(nil, uint32(len(record)))
	content = append(content, length...)
	content = binary.BigEndian.AppendUint32(content, recordChecksum(length, record))
	return append(content, record...)
}

func recordChecksum(length, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, record)
}

// decodeLog decodes a log up to its torn end, if it has one. If the header or a record that isn't the last is damaged,
// the error is apierror.DataLost.
func decodeLog(content []byte) (log, error) {
	if !validLogHeader(content) {
		return log{}, apierror.New(apierror.DataLost, "the log's header is damaged")
	}
	decoded := log{
		generation: binary.BigEndian.Uint64(content[logGenerationOffset:]),
		length:     logHeaderLength,
	}
	for decoded.length < len(content) {
		record, size := decodeRecord(content[decoded.length:])
		if size == 0 {
			// No valid record can follow a torn write. A valid record after an invalid one means that synced bytes were
			// damaged.
			if containsRecord(content[decoded.length+1:]) {
				return log{}, apierror.New(apierror.DataLost, "the log is damaged at byte %d", decoded.length)
			}
			return decoded, nil
		}
		decoded.records = append(decoded.records, record)
		decoded.length += size
	}
	return decoded, nil
}

func validLogHeader(content []byte) bool {
	if len(content) < logHeaderLength || string(content[:len(logMagic)]) != logMagic {
		return false
	}
	checksum := crc32.Checksum(content[:logChecksumOffset], castagnoli)
	return checksum == binary.BigEndian.Uint32(content[logChecksumOffset:])
}

// decodeRecord decodes the record at the start of content; size is its length in bytes including the header, or 0 if
// there is no valid record.
func decodeRecord(content []byte) (record []byte, size int) {
	if len(content) < recordHeaderLength {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(content))
	// No caller writes an empty record, and a run of zeros left by a torn write must not be decoded as empty records.
	if length == 0 || length > MaximumRecord || len(content) < recordHeaderLength+length {
		return nil, 0
	}
	record = content[recordHeaderLength : recordHeaderLength+length]
	checksum := recordChecksum(content[:recordChecksumOffset], record)
	if checksum != binary.BigEndian.Uint32(content[recordChecksumOffset:]) {
		return nil, 0
	}
	return record, recordHeaderLength + length
}

// containsRecord reports whether a valid record begins at any byte.
func containsRecord(content []byte) bool {
	for start := range content {
		if _, size := decodeRecord(content[start:]); size > 0 {
			return true
		}
	}
	return false
}
