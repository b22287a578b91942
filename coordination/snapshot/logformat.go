package snapshot

import (
	"encoding/binary"
	"hash/crc32"

	"wardtray/apierror"
)

// A log is its magic (4 bytes), generation (8) and checksum of both (4), and then its records, each with its length
// (4), the checksum of length and record (4) and the record. Numbers are big-endian; checksums are CRC-32C.
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
	// length is up to where the log is valid. What follows was never synced.
	length int
}

// EncodeLogHeader returns the first bytes of a log.
func EncodeLogHeader(generation uint64) []byte {
	header := append([]byte(logMagic), make([]byte, logHeaderLength-len(logMagic))...)
	binary.BigEndian.PutUint64(header[logGenerationOffset:], generation)
	binary.BigEndian.PutUint32(header[logChecksumOffset:], crc32.Checksum(header[:logChecksumOffset], castagnoli))
	return header
}

// EncodeRecord returns the bytes of one record of a log.
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

// decodeLog decodes a log up to its torn end. Damage before the end is apierror.DataLost.
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
			// A torn write leaves no valid record behind it; one after an invalid record means that synced bytes were
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

// decodeRecord decodes the record at the start of content; size is what it takes with its header, 0 where there is no
// valid record.
func decodeRecord(content []byte) (record []byte, size int) {
	if len(content) < recordHeaderLength {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(content))
	// Nothing writes an empty record, while a run of zeros left by a torn write would read as many.
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
