package placement

import (
	"testing"

	"wardtray/balancer/load"
)

func TestReportsAreReadWithTheirLag(t *testing.T) {
	history := reportHistory{lag: 2}
	if report, found := history.read(); found {
		t.Errorf("%v before the first report", report)
	}
	for number, want := range []int{0, 0, 0, 1, 2} {
		history.record(load.Report{Running: number})
		if report, found := history.read(); !found || report.Running != want {
			t.Errorf("after report %d: report %d (%v) instead of %d", number, report.Running, found, want)
		}
	}
}
