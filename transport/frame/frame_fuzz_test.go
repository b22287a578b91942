package frame

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/wire"
	"wardtray/wire/wiretest"
)

// For any bytes that arrive over a connection, decoding must neither panic nor report more bytes than arrived, and a
// decoded envelope must survive a round trip through its own encoding.
func FuzzStreamOfFrames(fuzz *testing.F) {
	for _, sample := range wiretest.Envelopes() {
		content, err := Encode(sample.Envelope)
		if err != nil {
			fuzz.Fatal(err)
		}
		fuzz.Add(content)
		fuzz.Add(content[:len(content)-1])
		fuzz.Add(append(content, content...))
	}
	fuzz.Add([]byte("WT\x01\x00\xff\xff\xff\xff"))
	fuzz.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		reader := bufio.NewReader(bytes.NewReader(content))
		for consumed := 0; ; {
			envelope, size, err := Decode(reader)
			if err != nil {
				if !errors.Is(err, io.EOF) && !apierror.Is(err, apierror.InvalidFrame) {
					t.Fatalf("unexpected error: %v", err)
				}
				return
			}
			if consumed += size; size < headerLength || consumed > len(content) {
				t.Fatalf("%d bytes reported as read, of %d", consumed, len(content))
			}
			requireReadBack(t, envelope)
		}
	})
}

// requireReadBack fails the test unless an envelope survives a round trip through its own encoding.
func requireReadBack(t *testing.T, envelope *wire.Envelope) {
	t.Helper()
	again, err := Encode(envelope)
	if err != nil {
		t.Fatal(err)
	}
	second, _, err := Decode(bufio.NewReader(bytes.NewReader(again)))
	if err != nil || !proto.Equal(envelope, second) {
		t.Fatalf("%v is decoded after encoding as %v: %v", envelope, second, err)
	}
}
