// Package frame puts one envelope into one length-framed piece of a TCP stream.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/wire"
)

const (
	// Version is the edition of the messages that this build speaks. It understands every one since Oldest.
	Version = 1
	// OldestVersion is the least edition that this build still understands.
	OldestVersion = 1
	// Maximum bounds a frame.
	Maximum = 24 << 20
	header  = 8
)

// Encode gives the bytes of a frame: "WT", edition, a zero, the length, the envelope.
func Encode(envelope *wire.Envelope) ([]byte, error) {
	envelope.ProtocolVersion = Version
	size := proto.Size(envelope)
	if size > Maximum {
		return nil, apierror.New(apierror.TooLarge, "a frame of %d bytes; at most %d", size, Maximum)
	}
	content := make([]byte, header, header+size)
	content[0], content[1], content[2] = 'W', 'T', Version
	binary.BigEndian.PutUint32(content[4:], uint32(size))
	content, err := proto.MarshalOptions{}.MarshalAppend(content, envelope)
	return content, apierror.Wrap(err, apierror.BadFrame, "encoding")
}

// Decode reads the next frame. At the end between two frames it gives io.EOF; anything foreign,
// torn or too large is a BadFrame fault, after which the stream is of no more use.
func Decode(reader *bufio.Reader) (*wire.Envelope, int, error) {
	var head [header]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		if err == io.EOF {
			return nil, 0, io.EOF
		}
		return nil, 0, apierror.Wrap(err, apierror.BadFrame, "a torn header")
	}
	if head[0] != 'W' || head[1] != 'T' || head[3] != 0 {
		return nil, 0, apierror.New(apierror.BadFrame, "not a wardtray frame")
	}
	// A newer edition only adds fields, which decoding skips; an older one than Oldest lacks what we need.
	if head[2] < OldestVersion {
		return nil, 0, apierror.New(apierror.BadFrame, "edition %d is older than %d", head[2], OldestVersion)
	}
	size := binary.BigEndian.Uint32(head[4:])
	if size > Maximum {
		return nil, 0, apierror.New(apierror.BadFrame, "a frame of %d bytes; at most %d", size, Maximum)
	}
	content, err := readBounded(reader, int(size))
	if err != nil {
		return nil, 0, apierror.Wrap(err, apierror.BadFrame, "a torn frame")
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal(content, envelope); err != nil {
		return nil, 0, apierror.Wrap(err, apierror.BadFrame, "not an envelope")
	}
	return envelope, header + int(size), nil
}

// readBounded takes memory only as bytes arrive, so that a false length costs little.
func readBounded(reader io.Reader, size int) ([]byte, error) {
	const step = 64 << 10
	content := make([]byte, 0, min(size, step))
	for len(content) < size {
		start := len(content)
		content = append(content, make([]byte, min(size-start, max(step, start)))...)
		if _, err := io.ReadFull(reader, content[start:]); err != nil {
			return nil, err
		}
	}
	return content, nil
}
