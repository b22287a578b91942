package load

import (
	"testing"
	"time"
)

// A report moves the smoothed load by a small step; the latest load follows it at once only if the runner is at most
// half full. Reports older than reportLifetime are ignored.
func TestLoadEstimate(t *testing.T) {
	const slots = 8
	var estimate loadEstimate
	estimate.add(started, Report{Running: 8, Waiting: 2, Slots: slots}, inFlightRequests{total: 2})
	check := func(name string, now time.Time, wantSmoothed, wantLatest float64) {
		t.Helper()
		if smoothed, latest := estimate.load(now, 2, slots); smoothed != wantSmoothed || latest != wantLatest {
			t.Errorf("%s: smoothed load %v, want %v; latest load %v, want %v", name, smoothed, wantSmoothed, latest, wantLatest)
		}
	}
	check("the first report", started, 10, 10)
	estimate.add(started, Report{Running: 7, Slots: slots}, inFlightRequests{total: 2})
	smoothed := 8 + reportSmoothing*(5-8.0)
	check("more than half full", started, 2+smoothed, 2+smoothed)
	estimate.add(started, Report{Running: 4, Slots: slots}, inFlightRequests{total: 2})
	smoothed += reportSmoothing * (2 - smoothed)
	check("less than half full", started, 2+smoothed, 2+smoothed+(2-smoothed))
	check("an old report", started.Add(reportLifetime), 2, 2)
}
