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

// goldenEnvelope returns the envelope whose frame the golden file pins. The golden files of package wire pin the bytes
// of every message.
func goldenEnvelope() *wire.Envelope {
	return &wire.Envelope{Epoch: 300, From: "127.0.0.1:7001", Sender: "sender", Zone: "zone",
		Body: &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: &wire.DaemonLeaseRequest{Nonce: 7}}}
}

// Peers of other releases depend on the bytes of a frame: its header, its length and its envelope.
func TestFrameKeepsItsBytes(t *testing.T) {
	content, err := Encode(goldenEnvelope())
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, framesFile, fmt.Sprintf("frame %x\n", content))
}

// The frame in the golden file must decode to the envelope that it was made from, also if another frame follows.
func TestGoldenFrameIsUnderstood(t *testing.T) {
	content, err := hex.DecodeString(golden.Lines(t, framesFile)["frame"])
	if err != nil {
		t.Fatal(err)
	}
	want := goldenEnvelope()
	want.ProtocolVersion = 1
	reader := bufio.NewReader(bytes.NewReader(append(append([]byte{}, content...), content...)))
	for range 2 {
		envelope, size, err := Decode(reader)
		if err != nil || size != len(content) || !proto.Equal(envelope, want) {
			t.Fatalf("decoded %v from %d of %d bytes, %v", envelope, size, len(content), err)
		}
	}
	if _, _, err := Decode(reader); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
}
