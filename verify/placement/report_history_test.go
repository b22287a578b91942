package placement

import (
	"testing"

	"wardtray/balancer/load"
)

func TestReportsAreReadWithTheirLag(t *testing.T) {
	history := reportHistory{lag: 2}
	if report, found := history.read(); found {
		t.Errorf("read %v before the first report", report)
	}
	for number, want := range []int{0, 0, 0, 1, 2} {
		history.record(load.Report{Running: number})
		if report, found := history.read(); !found || report.Running != want {
			t.Errorf("after report %d: read report %d (found: %v), want %d", number, report.Running, found, want)
		}
	}
}
