package emulator

import (
	"sync/atomic"
	"time"
)

// Faults configures the misbehaviour of a runner, which has none by default. Scenarios set the fields while it runs.
type Faults struct {
	// Unresponsive makes the runner read requests and never respond.
	Unresponsive atomic.Bool
	// Partial makes the runner abort its streams after half of their events.
	Partial atomic.Bool
	// Slowdown multiplies the duration of the runner's work if it is above 1.
	Slowdown atomic.Int64
}

// slowed returns the duration of work that takes length without faults.
func (faults *Faults) slowed(length time.Duration) time.Duration {
	return length * time.Duration(max(1, faults.Slowdown.Load()))
}
