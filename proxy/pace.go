package proxy

import "time"

// pacedEvents is after how many events the pace of a response is measured.
const pacedEvents = 4

// paceMeter measures how fast the events of one response come.
type paceMeter struct {
	// events counts those that were relayed, of which measured went into earlier measurements, the last at measuredAt.
	events, measured int
	measuredAt       time.Time
}

// event counts an event that is relayed now. After every pacedEvents it returns how many were added since the last
// measurement and how long they took; 0 otherwise.
func (meter *paceMeter) event(now time.Time) (added int, took time.Duration) {
	meter.events++
	if meter.measuredAt.IsZero() {
		meter.measured, meter.measuredAt = meter.events, now
		return 0, 0
	}
	added = meter.events - meter.measured
	if added < pacedEvents {
		return 0, 0
	}
	took = now.Sub(meter.measuredAt)
	meter.measured, meter.measuredAt = meter.events, now
	return added, took
}
