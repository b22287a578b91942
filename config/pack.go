package config

import (
	"bytes"
	"compress/flate"
	"io"

	stateless "github.com/klauspost/compress/flate"

	"wardtray/apierror"
)

// Pack compresses a spec for its way to many daemons; a spec repeats itself a lot. It keeps no state between
// calls: a writer of the standard library takes 1.2 MB, far more than any spec, and each change packs one.
func Pack(content []byte) []byte {
	var packed bytes.Buffer
	if err := stateless.StatelessDeflate(&packed, content, true, nil); err != nil {
		panic(err) // Writing to memory can't fail.
	}
	return packed.Bytes()
}

// Unpack gives back what was packed, but no more than a spec may have.
func Unpack(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaximumBytes+1))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "unpacking a spec")
	}
	if len(content) > MaximumBytes {
		return nil, apierror.New(apierror.TooLarge, "a packed spec of more than %d bytes", MaximumBytes)
	}
	return content, nil
}
