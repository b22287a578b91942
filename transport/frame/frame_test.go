package frame

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/wire"
)

// encoded returns the frame of a daemon's lease request.
func encoded(tb testing.TB) []byte {
	tb.Helper()
	request := &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: &wire.DaemonLeaseRequest{Nonce: 3}}
	content, err := Encode(&wire.Envelope{From: "127.0.0.1:1", Epoch: 7, Body: request})
	if err != nil {
		tb.Fatal(err)
	}
	return content
}

// Bytes that are not a complete frame must be rejected with the code InvalidFrame. The end of the stream between two
// frames must return io.EOF instead.
func TestDecodeRejectsInvalidFrames(t *testing.T) {
	valid := encoded(t)
	oversized := bytes.Clone(valid)
	oversized[4] = 0xff
	outdated := bytes.Clone(valid)
	outdated[2] = 0
	noEnvelope := append(bytes.Clone(valid[:headerLength]), bytes.Repeat([]byte{0xff}, len(valid)-headerLength)...)
	for name, content := range map[string][]byte{
		"foreign":          []byte("GET / HTTP/1.1\r\n\r\n"),
		"truncated header": valid[:5],
		"truncated body":   valid[:len(valid)-1],
		"oversized":        oversized,
		"outdated":         outdated,
		"no envelope":      noEnvelope,
	} {
		if _, _, err := Decode(bufio.NewReader(bytes.NewReader(content))); !apierror.Is(err, apierror.InvalidFrame) {
			t.Errorf("%s: %v", name, err)
		}
	}
	reader := bufio.NewReader(bytes.NewReader(append(bytes.Clone(valid), valid...)))
	for range 2 {
		if envelope, _, err := Decode(reader); err != nil || envelope.GetDaemonLeaseRequest().GetNonce() != 3 {
			t.Fatalf("one of two consecutive frames: %v", err)
		}
	}
	if _, _, err := Decode(reader); !errors.Is(err, io.EOF) {
		t.Fatalf("end of the stream after two frames: %v, want io.EOF", err)
	}
}

// During an upgrade, peers of adjacent versions exchange frames. Fields of the next version must be skipped, and kept
// when the message is forwarded; fields that an older version lacks must decode as empty.
func TestDecodeAcceptsAdjacentVersions(t *testing.T) {
	newer := encoded(t)
	newer = protowire.AppendTag(newer, 900, protowire.BytesType)
	newer = protowire.AppendString(newer, "from the next version")
	newer[2] = Version + 1
	newer[7] = byte(len(newer) - headerLength)
	envelope, _, err := Decode(bufio.NewReader(bytes.NewReader(newer)))
	if err != nil || envelope.GetDaemonLeaseRequest().GetNonce() != 3 {
		t.Fatalf("a frame of the next version: %v", err)
	}
	forwarded, err := proto.Marshal(envelope)
	if err != nil || !bytes.Contains(forwarded, []byte("from the next version")) {
		t.Fatal("an unknown field was lost in the forwarded message")
	}
	// An older encoding of a lease request, which lacks the zone and the HTTP address.
	var request, older []byte
	request = protowire.AppendTag(request, 1, protowire.VarintType)
	request = protowire.AppendVarint(request, 9)
	older = protowire.AppendTag(older, 3, protowire.BytesType)
	older = protowire.AppendString(older, "127.0.0.2:1")
	older = protowire.AppendTag(older, 26, protowire.BytesType)
	older = protowire.AppendBytes(older, request)
	content := append([]byte{'W', 'T', OldestVersion, 0, 0, 0, 0, byte(len(older))}, older...)
	envelope, _, err = Decode(bufio.NewReader(bytes.NewReader(content)))
	if err != nil || envelope.GetDaemonLeaseRequest().GetNonce() != 9 || envelope.GetDaemonLeaseRequest().GetZone() != "" {
		t.Fatalf("a frame of an older version: %v", err)
	}
}

// For any bytes, Decode must neither panic nor report more bytes than it was given, and a decoded envelope can be
// encoded.
func FuzzDecode(fuzz *testing.F) {
	fuzz.Add(encoded(fuzz))
	fuzz.Add([]byte("WT\x01\x00\x00\x00\x00\x00"))
	fuzz.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		envelope, size, err := Decode(bufio.NewReader(bytes.NewReader(content)))
		if err != nil {
			return
		}
		if size > len(content) {
			t.Fatal("Decode reports more bytes than the stream held")
		}
		if _, err := Encode(envelope); err != nil {
			t.Fatal(err)
		}
	})
}
