package placement

import (
	"math"
	"testing"
	"time"
)

// One request of value 4 in each of three windows: in time, late for 1, and lost.
func threeEnds() *Earned {
	earned := newEarned()
	for window, end := range []struct{ complete, inTime bool }{{true, true}, {true, false}, {false, false}} {
		request := &batchRequest{
			drawnRequest: drawnRequest{value: 4, late: 1, large: window < 2, sharedTokens: 500},
			window:       window,
		}
		earned.arrived(request)
		earned.ended(request, end.complete, end.inTime)
	}
	return earned
}

func TestEarnedCountsEnds(t *testing.T) {
	earned := threeEnds()
	if earned.Requests != 3 || earned.InTime != 1 || earned.Late != 1 || earned.Failed != 1 {
		t.Errorf("%d requests, %d in time, %d late, %d failed", earned.Requests, earned.InTime, earned.Late,
			earned.Failed)
	}
	if earned.Large != 2 || earned.LargeServed != 2 || earned.Shared != 1500 {
		t.Errorf("%d of %d large ones served, %d shared tokens", earned.LargeServed, earned.Large, earned.Shared)
	}
	if math.Abs(earned.Share()-5.0/12) > 1e-9 || earned.Worst() != 0 {
		t.Errorf("share %v, worst window %v", earned.Share(), earned.Worst())
	}
}

func TestNetIsLessThePrices(t *testing.T) {
	earned := threeEnds()
	earned.RereadTokens, earned.Probes, earned.CrossZoneBytes = 1000, 10, 1e6
	want := (5 - rereadPrice - 10*probePrice - crossZonePrice*1e-3) / 12
	if got := earned.Net(); math.Abs(got-want) > 1e-9 {
		t.Errorf("%v instead of %v", got, want)
	}
}

// A window in which little arrived says nothing.
func TestWorstPassesOverNearlyEmptyWindows(t *testing.T) {
	earned := &Earned{
		MaximumValue: 21,
		Windows:      map[int]windowValue{0: {maximum: 10, earned: 8}, 1: {maximum: 10, earned: 6}, 2: {maximum: 1}},
	}
	if got := earned.Worst(); got != 0.6 {
		t.Errorf("%v instead of 0.6", got)
	}
}

func TestAddKeepsTheWindowsOfSeedsApart(t *testing.T) {
	sum := newEarned()
	first, second := threeEnds(), threeEnds()
	first.First, second.First = []time.Duration{1, 3}, []time.Duration{2}
	sum.add(0, first)
	sum.add(1, second)
	if sum.Requests != 6 || sum.Value != 10 || len(sum.Windows) != 6 {
		t.Errorf("%d requests, value %v, %d windows", sum.Requests, sum.Value, len(sum.Windows))
	}
	if got := sum.Quantile(0.5); got != 2 {
		t.Errorf("median %v instead of 2", got)
	}
}
