package transport

// CounterValues gives a transport's counters by the names under which statuses show them.
func CounterValues(carrier *Transport) map[string]any {
	counters := &carrier.Counters
	return map[string]any{
		"sent": counters.Sent.Load(), "dropped": counters.Dropped.Load(), "received": counters.Received.Load(),
		"bad_frames": counters.BadFrames.Load(), "bytes_out": counters.BytesOut.Load(), "bytes_in": counters.BytesIn.Load(),
		"bytes_other_zone": counters.BytesOtherZone.Load(),
	}
}
