package frame

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/wire"
)

func encoded(t testing.TB) []byte {
	content, err := Encode(&wire.Envelope{From: "127.0.0.1:1", Epoch: 7, Body: &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: &wire.DaemonLeaseRequest{Nonce: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func TestForeignTornAndOversizedFramesAreNamed(t *testing.T) {
	whole := encoded(t)
	large := append([]byte{}, whole...)
	large[4] = 0xff
	ancient := append([]byte{}, whole...)
	ancient[2] = 0
	for name, content := range map[string][]byte{"foreign": []byte("GET / HTTP/1.1\r\n\r\n"), "torn header": whole[:5], "torn body": whole[:len(whole)-1],
		"oversized": large, "ancient": ancient, "no envelope": append(append([]byte{}, whole[:8]...), bytes.Repeat([]byte{0xff}, len(whole)-8)...)} {
		if _, _, err := Decode(bufio.NewReader(bytes.NewReader(content))); !apierror.Is(err, apierror.BadFrame) {
			t.Errorf("%s: %v", name, err)
		}
	}
	reader := bufio.NewReader(bytes.NewReader(append(append([]byte{}, whole...), whole...)))
	for range 2 {
		if envelope, _, err := Decode(reader); err != nil || envelope.GetDaemonLeaseRequest().GetNonce() != 3 {
			t.Fatalf("two frames in a row: %v", err)
		}
	}
	if _, _, err := Decode(reader); err != io.EOF {
		t.Fatalf("the end between two frames: %v", err)
	}
}

// A neighbour of the next edition may add fields; this one reads past them and keeps them when the
// message is passed on. A neighbour of an older edition leaves newer fields out.
func TestAdjacentEditionsUnderstandEachOther(t *testing.T) {
	newer := encoded(t)
	newer = protowire.AppendTag(newer, 900, protowire.BytesType)
	newer = protowire.AppendString(newer, "from the next edition")
	newer[2] = Version + 1
	newer[7] = byte(len(newer) - header)
	envelope, _, err := Decode(bufio.NewReader(bytes.NewReader(newer)))
	if err != nil || envelope.GetDaemonLeaseRequest().GetNonce() != 3 {
		t.Fatalf("a frame of the next edition: %v", err)
	}
	passed, err := proto.Marshal(envelope)
	if err != nil || !bytes.Contains(passed, []byte("from the next edition")) {
		t.Fatal("an unknown field was lost on the way")
	}
	// An older encoding of a tick question, from before it told its zone and HTTP address.
	var ask, older []byte
	ask = protowire.AppendTag(ask, 1, protowire.VarintType)
	ask = protowire.AppendVarint(ask, 9)
	older = protowire.AppendTag(older, 3, protowire.BytesType)
	older = protowire.AppendString(older, "127.0.0.2:1")
	older = protowire.AppendTag(older, 26, protowire.BytesType)
	older = protowire.AppendBytes(older, ask)
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
