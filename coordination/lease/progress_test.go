package lease

import (
	"testing"
	"time"
)

// A report of a newer sequence with a later fence must not delay the fence of an older sequence, nor the reports grow
// without bound.
func TestProgressTrackerKeepsTheEarliestFence(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tracker := NewProgressTracker()
	if tracker.Fenced(now, "k", 0) {
		t.Fatal("fenced before any report")
	}
	tracker.Report("k", 5, now)
	tracker.Report("k", 6, now.Add(duration))
	for _, test := range []struct {
		after    time.Duration
		sequence uint64
		want     bool
	}{{0, 5, true}, {0, 6, false}, {duration, 6, true}, {duration, 7, false}} {
		if got := tracker.Fenced(now.Add(test.after), "k", test.sequence); got != test.want {
			t.Fatalf("after %v: sequence %d fenced: %v", test.after, test.sequence, got)
		}
	}
	for number := range uint64(1000) {
		tracker.Report("k", 7+number, now.Add(time.Duration(number)))
	}
	if count := len(tracker.reports["k"]); count > maximumReports {
		t.Fatalf("%d reports kept, want at most %d", count, maximumReports)
	}
	if !tracker.Fenced(now.Add(time.Second), "k", 900) {
		t.Fatal("sequence 900 is not fenced although the moment fencedFrom of its report has passed")
	}
}
