package frame

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/wire"
	"wardtray/wire/wiretest"
)

// Whatever comes over a connection, reading frames neither panics nor takes more memory than bytes came for, and what
// was read is read again from its own encoding.
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
		for taken := 0; ; {
			envelope, size, err := Decode(reader)
			if err != nil {
				if err != io.EOF && !apierror.Is(err, apierror.BadFrame) {
					t.Fatalf("%v", err)
				}
				return
			}
			if taken += size; size < header || taken > len(content) {
				t.Fatalf("%d bytes were read of %d", taken, len(content))
			}
			requireReadBack(t, envelope)
		}
	})
}

// requireReadBack wants a message to be read again from its own encoding.
func requireReadBack(t *testing.T, envelope *wire.Envelope) {
	t.Helper()
	again, err := Encode(envelope)
	if err != nil {
		t.Fatal(err)
	}
	second, _, err := Decode(bufio.NewReader(bytes.NewReader(again)))
	if err != nil || !proto.Equal(envelope, second) {
		t.Fatalf("%v is read back as %v: %v", envelope, second, err)
	}
}
