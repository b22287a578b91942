package emulator

import (
	"sync/atomic"
	"time"
)

// Faults are the ways in which a runner may misbehave. They may be switched while it runs.
type Faults struct {
	// Unresponsive makes the runner read requests and never respond.
	Unresponsive atomic.Bool
	// Partial makes it break off its streams after half of their events.
	Partial atomic.Bool
	// Slowdown makes it work so many times slower, where it is above 1.
	Slowdown atomic.Int64
}

// slowed returns how long work of such a length takes.
func (faults *Faults) slowed(length time.Duration) time.Duration {
	return length * time.Duration(max(1, faults.Slowdown.Load()))
}
