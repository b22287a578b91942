package transport

import "sync/atomic"

// Counters counts a transport's operations since its creation.
type Counters struct {
	// Sent and Received count envelopes, Dropped those that were discarded instead of sent.
	Sent, Dropped, Received atomic.Uint64
	// BadFrames counts inbound connections that ended because of an invalid frame.
	BadFrames atomic.Uint64
	// BytesOut and BytesIn count the bytes of frames, BytesOtherZone the bytes sent to processes in other zones.
	BytesOut, BytesIn, BytesOtherZone atomic.Uint64
}

// CounterValues returns the values of a transport's counters, keyed by their names in status documents.
func CounterValues(transport *Transport) map[string]any {
	counters := &transport.Counters
	return map[string]any{
		"sent":             counters.Sent.Load(),
		"dropped":          counters.Dropped.Load(),
		"received":         counters.Received.Load(),
		"bad_frames":       counters.BadFrames.Load(),
		"bytes_out":        counters.BytesOut.Load(),
		"bytes_in":         counters.BytesIn.Load(),
		"bytes_other_zone": counters.BytesOtherZone.Load(),
	}
}
