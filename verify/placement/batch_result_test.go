package placement

import (
	"math"
	"testing"
	"time"
)

// threeEndedRequests returns the results of three requests of value 4 in successive windows: one answered in time, one
// answered late with a value of 1, and one failed.
func threeEndedRequests() *BatchResult {
	result := newBatchResult()
	for window, end := range []struct{ complete, inTime bool }{{true, true}, {true, false}, {false, false}} {
		request := &batchRequest{
			drawnRequest: drawnRequest{value: 4, late: 1, large: window < 2, sharedTokens: 500},
			window:       window,
		}
		result.recordArrival(request)
		result.recordEnd(request, end.complete, end.inTime)
	}
	return result
}

func TestBatchResultCountsEnds(t *testing.T) {
	result := threeEndedRequests()
	if result.Requests != 3 || result.InTime != 1 || result.Late != 1 || result.Failed != 1 {
		t.Errorf("%d requests, %d in time, %d late, %d failed", result.Requests, result.InTime, result.Late,
			result.Failed)
	}
	if result.Large != 2 || result.LargeServed != 2 || result.SharedTokens != 1500 {
		t.Errorf("%d of %d large requests served, %d shared tokens", result.LargeServed, result.Large, result.SharedTokens)
	}
	if math.Abs(result.ValueShare()-5.0/12) > 1e-9 || result.WorstWindowShare() != 0 {
		t.Errorf("value share %v, worst window %v", result.ValueShare(), result.WorstWindowShare())
	}
}

func TestNetShareIsLessTheCosts(t *testing.T) {
	result := threeEndedRequests()
	result.RereadTokens, result.Polls, result.CrossZoneBytes = 1000, 10, 1e6
	want := (5 - rereadCost - 10*pollCost - crossZoneCost*1e-3) / 12
	if got := result.NetShare(); math.Abs(got-want) > 1e-9 {
		t.Errorf("net share %v, want %v", got, want)
	}
}

// A window with few arrivals must not determine the worst share.
func TestWorstPassesOverNearlyEmptyWindows(t *testing.T) {
	result := &BatchResult{
		MaximumValue: 21,
		Windows:      map[int]windowValue{0: {maximum: 10, actual: 8}, 1: {maximum: 10, actual: 6}, 2: {maximum: 1}},
	}
	if got := result.WorstWindowShare(); got != 0.6 {
		t.Errorf("worst share %v, want 0.6", got)
	}
}

func TestAddKeepsTheWindowsOfSeedsApart(t *testing.T) {
	sum := newBatchResult()
	first, second := threeEndedRequests(), threeEndedRequests()
	first.FirstEventTimes, second.FirstEventTimes = []time.Duration{1, 3}, []time.Duration{2}
	sum.add(0, first)
	sum.add(1, second)
	if sum.Requests != 6 || sum.Value != 10 || len(sum.Windows) != 6 {
		t.Errorf("%d requests, value %v, %d windows", sum.Requests, sum.Value, len(sum.Windows))
	}
	if got := sum.Quantile(0.5); got != 2 {
		t.Errorf("median %v, want 2", got)
	}
}
