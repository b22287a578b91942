package config

import (
	"bytes"
	"compress/flate"
	"io"

	stateless "github.com/klauspost/compress/flate"

	"wardtray/apierror"
)

// Pack compresses an encoded document, since it is sent to many daemons and documents are repetitive. The compressor
// is stateless: a writer of the standard library allocates 1.2 MB, far more than any document, on every change.
func Pack(content []byte) []byte {
	var packed bytes.Buffer
	if err := stateless.StatelessDeflate(&packed, content, true, nil); err != nil {
		panic(err) // Writing to memory can't fail.
	}
	return packed.Bytes()
}

// Unpack returns what Pack compressed. Content that can't be decompressed is a Malformed error, and content of more
// than MaximumBytes a TooLarge one.
func Unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	content, err := io.ReadAll(io.LimitReader(reader, MaximumBytes+1))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "unpacking a spec")
	}
	if len(content) > MaximumBytes {
		return nil, apierror.New(apierror.TooLarge, "a packed spec of more than %d bytes", MaximumBytes)
	}
	return content, nil
}
