package proxy

import "time"

// pacedEvents is the number of events between two measurements of the event rate.
const pacedEvents = 4

// paceMeter measures the event rate of one response.
type paceMeter struct {
	// events counts the relayed events. measured is the value of events at the last measurement, which was made at
	// measuredAt.
	events, measured int
	measuredAt       time.Time
}

// event counts an event that is being relayed. After every pacedEvents events it returns the number of events since the
// last measurement and the time that they took; otherwise it returns 0.
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
