// Package frame encodes envelopes as length-prefixed frames of a TCP stream.
//
// A frame is a header of 8 bytes followed by the envelope in protobuf encoding. The header holds the magic "WT", the
// protocol version, a zero byte and the length of the envelope in bytes (big-endian, 32 bits).
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/wire"
)

const (
	// Version is the protocol version that this build writes. It reads every version from OldestVersion on.
	Version = 1
	// OldestVersion is the lowest protocol version that this build still reads.
	OldestVersion = 1
	// MaximumSize is the maximum size of an encoded envelope, in bytes.
	MaximumSize = 24 << 20
	// headerLength is the length of a frame's header, in bytes.
	headerLength = 8
	// allocationStep is the size of the first allocation for a frame's content, in bytes.
	allocationStep = 64 << 10
)

// Encode sets the ProtocolVersion of an envelope and returns its frame. For an envelope of more than MaximumSize bytes
// it returns an apierror.TooLarge.
func Encode(envelope *wire.Envelope) ([]byte, error) {
	envelope.ProtocolVersion = Version
	size := proto.Size(envelope)
	if size > MaximumSize {
		return nil, apierror.New(apierror.TooLarge, "envelope of %d bytes exceeds the maximum of %d", size, MaximumSize)
	}
	content := make([]byte, headerLength, headerLength+size)
	content[0], content[1], content[2] = 'W', 'T', Version
	binary.BigEndian.PutUint32(content[4:], uint32(size))
	content, err := proto.MarshalOptions{}.MarshalAppend(content, envelope)
	return content, apierror.Wrap(err, apierror.InvalidFrame, "encoding")
}

// Decode reads the next frame and returns its envelope and its size in bytes, including the header. If the stream ends
// between two frames, it returns io.EOF. For a foreign, truncated or oversized frame it returns an error with the code
// apierror.InvalidFrame, after which the stream can't be used any more.
func Decode(reader *bufio.Reader) (*wire.Envelope, int, error) {
	var head [headerLength]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, 0, io.EOF
		}
		return nil, 0, apierror.Wrap(err, apierror.InvalidFrame, "truncated header")
	}
	if head[0] != 'W' || head[1] != 'T' || head[3] != 0 {
		return nil, 0, apierror.New(apierror.InvalidFrame, "not a wardtray frame")
	}
	// Newer versions only add fields, which decoding skips; versions before OldestVersion lack required fields.
	if head[2] < OldestVersion {
		return nil, 0, apierror.New(apierror.InvalidFrame, "protocol version %d is older than %d", head[2], OldestVersion)
	}
	size := binary.BigEndian.Uint32(head[4:])
	if size > MaximumSize {
		return nil, 0, apierror.New(apierror.InvalidFrame, "frame of %d bytes exceeds the maximum of %d", size, MaximumSize)
	}
	content, err := readBounded(reader, int(size))
	if err != nil {
		return nil, 0, apierror.Wrap(err, apierror.InvalidFrame, "truncated frame")
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal(content, envelope); err != nil {
		return nil, 0, apierror.Wrap(err, apierror.InvalidFrame, "decoding an envelope")
	}
	return envelope, headerLength + int(size), nil
}

// readBounded reads size bytes and allocates memory only as they arrive, so that a forged length allocates little.
func readBounded(reader io.Reader, size int) ([]byte, error) {
	content := make([]byte, 0, min(size, allocationStep))
	for len(content) < size {
		start := len(content)
		content = append(content, make([]byte, min(size-start, max(allocationStep, start)))...)
		if _, err := io.ReadFull(reader, content[start:]); err != nil {
			return nil, err
		}
	}
	return content, nil
}
