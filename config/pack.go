package config

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"wardtray/process/fault"
)

// packers are kept between calls, since making one costs far more than packing an ordinary spec.
var packers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is one of the library's own.
	}
	return writer
}}

// Pack compresses a spec for its way to many daemons; a spec repeats itself a lot.
func Pack(content []byte) []byte {
	var packed bytes.Buffer
	writer := packers.Get().(*flate.Writer)
	defer packers.Put(writer)
	writer.Reset(&packed)
	_, err := writer.Write(content)
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		panic(err) // Writing to memory can't fail.
	}
	return packed.Bytes()
}

// Unpack gives back what was packed, but no more than a spec may have.
func Unpack(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaximumBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "unpacking a spec")
	}
	if len(content) > MaximumBytes {
		return nil, fault.New(fault.TooLarge, "a packed spec of more than %d bytes", MaximumBytes)
	}
	return content, nil
}
