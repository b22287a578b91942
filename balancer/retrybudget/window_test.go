package retrybudget

import (
	"testing"
	"time"
)

// The oldest cell, which overlaps the window only partly, still counts for retries and no longer for requests.
func TestSlidingWindowTotals(t *testing.T) {
	window := slidingWindow{cellLength: time.Second}
	first := window.cell(0)
	first.requests, first.retries = 5, 3
	for _, step := range []struct {
		elapsed           time.Duration
		requests, retries int
	}{
		{0, 5, 3},
		{(windowCells - 1) * time.Second, 5, 3},
		{windowCells * time.Second, 0, 3},
		{(windowCells + 1) * time.Second, 0, 0},
	} {
		requests, retries := window.totals(step.elapsed, windowCells)
		if requests != step.requests || retries != step.retries {
			t.Errorf("after %v: %d requests, %d retries; want %d, %d",
				step.elapsed, requests, retries, step.requests, step.retries)
		}
	}
	if reused := window.cell((windowCells + 1) * time.Second); reused.requests != 0 || reused.retries != 0 {
		t.Errorf("a reused cell still has counts: %+v", reused)
	}
}

// The maximum number of daemons is retained for retainedWindows windows.
func TestDaemonPeakIsRemembered(t *testing.T) {
	peak := daemonPeak{window: time.Second}
	for _, step := range []struct {
		elapsed       time.Duration
		daemons, want int
	}{
		{0, 0, 1},
		{0, 9, 9},
		{500 * time.Millisecond, 2, 9},
		{retainedWindows * time.Second, 1, 9},
		{(retainedWindows + 1) * time.Second, 1, 1},
	} {
		if maximum := peak.observe(step.elapsed, step.daemons); maximum != step.want {
			t.Errorf("%d daemons seen after %v: maximum %d, want %d", step.daemons, step.elapsed, maximum, step.want)
		}
	}
}
