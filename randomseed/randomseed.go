// Package randomseed creates seeds for the pseudo-random sources of processes.
package randomseed

import (
	crypto "crypto/rand"
	"encoding/binary"
	"time"
)

// New returns a seed from the operating system's source of randomness, or from the clock if that fails.
func New() int64 {
	var seed [8]byte
	if _, err := crypto.Read(seed[:]); err != nil {
		return time.Now().UnixNano()
	}
	return int64(binary.BigEndian.Uint64(seed[:]))
}
