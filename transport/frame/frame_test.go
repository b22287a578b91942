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
			t.Fatalf("two frames in a row: %v", err)
		}
	}
	if _, _, err := Decode(reader); !errors.Is(err, io.EOF) {
		t.Fatalf("the end between two frames: %v", err)
	}
}

// A peer of the next version may add fields; this one skips them and keeps them when the message is passed on. A peer
// of an older version leaves newer fields out.
func TestDecodeAcceptsAdjacentVersions(t *testing.T) {
	newer := encoded(t)
	newer = protowire.AppendTag(newer, 900, protowire.BytesType)
	newer = protowire.AppendString(newer, "from the next edition")
	newer[2] = Version + 1
	newer[7] = byte(len(newer) - headerLength)
	envelope, _, err := Decode(bufio.NewReader(bytes.NewReader(newer)))
	if err != nil || envelope.GetDaemonLeaseRequest().GetNonce() != 3 {
		t.Fatalf("a frame of the next edition: %v", err)
	}
	passed, err := proto.Marshal(envelope)
	if err != nil || !bytes.Contains(passed, []byte("from the next edition")) {
		t.Fatal("an unknown field was lost on the way")
	}
	// An older encoding of a lease request, from before it held the zone and the HTTP address.
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
		t.Fatalf("an older encoding: %v", err)
	}
}

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
			t.Fatal("more read than there was")
		}
		if _, err := Encode(envelope); err != nil {
			t.Fatal(err)
		}
	})
}
