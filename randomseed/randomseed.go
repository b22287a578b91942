// Package randomseed makes seeds for the private random sources of processes.
package randomseed

import (
	crypto "crypto/rand"
	"encoding/binary"
	"time"
)

// New gives a seed from the operating system's source of randomness, or from the clock where that fails.
func New() int64 {
	var bytes [8]byte
	if _, err := crypto.Read(bytes[:]); err != nil {
		return time.Now().UnixNano()
	}
	return int64(binary.BigEndian.Uint64(bytes[:]))
}
