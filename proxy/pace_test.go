package proxy

import (
	"testing"
	"time"
)

func TestPaceMeter(t *testing.T) {
	meter, now := &paceMeter{}, time.Unix(1_700_000_000, 0)
	events, total := 0, time.Duration(0)
	const count = 2*pacedEvents + 2
	for range count {
		if added, took := meter.event(now); added > 0 {
			if added != pacedEvents {
				t.Errorf("%d events measured at once", added)
			}
			events, total = events+added, total+took
		}
		now = now.Add(10 * time.Millisecond)
	}
	// The first event starts the clock, and the last one is left for the next measurement.
	if events != count-2 || total != time.Duration(events)*10*time.Millisecond {
		t.Errorf("%d events in %v", events, total)
	}
}
