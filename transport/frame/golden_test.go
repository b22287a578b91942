package frame

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"wardtray/verify/golden"
	"wardtray/wire"
)

const framesFile = "golden.txt"

// goldenEnvelope is one envelope whose frame is pinned; the bytes of every message are pinned beside package wire.
func goldenEnvelope() *wire.Envelope {
	return &wire.Envelope{Epoch: 300, From: "127.0.0.1:7001", Sender: "sender", Zone: "zone",
		Body: &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: &wire.DaemonLeaseRequest{Nonce: 7}}}
}

// A frame keeps its header, its length and its envelope.
func TestFrameKeepsItsBytes(t *testing.T) {
	content, err := Encode(goldenEnvelope())
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, framesFile, fmt.Sprintf("frame %x\n", content))
}

// The frame of the golden file decodes to the envelope that it was made of, also where another follows.
func TestGoldenFrameIsUnderstood(t *testing.T) {
	content, err := hex.DecodeString(golden.Lines(t, framesFile)["frame"])
	if err != nil {
		t.Fatal(err)
	}
	wanted := goldenEnvelope()
	wanted.ProtocolVersion = 1
	reader := bufio.NewReader(bytes.NewReader(append(append([]byte{}, content...), content...)))
	for range 2 {
		envelope, size, err := Decode(reader)
		if err != nil || size != len(content) || !proto.Equal(envelope, wanted) {
			t.Fatalf("%v, %d bytes of %d, %v", envelope, size, len(content), err)
		}
	}
	if _, _, err := Decode(reader); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
}
