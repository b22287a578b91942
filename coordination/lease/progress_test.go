package lease

import (
	"testing"
	"time"
)

// A later report about a newer sequence must not delay the fence of an older one.
func TestProgressTrackerKeepsTheEarliestFence(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tracker := NewProgressTracker()
	if tracker.Clear(now, "k", 0) {
		t.Fatal("fenced without a report")
	}
	tracker.Note("k", 5, now)
	tracker.Note("k", 6, now.Add(duration))
	for _, test := range []struct {
		after    time.Duration
		sequence uint64
		want     bool
	}{{0, 5, true}, {0, 6, false}, {duration, 6, true}, {duration, 7, false}} {
		if got := tracker.Clear(now.Add(test.after), "k", test.sequence); got != test.want {
			t.Fatalf("%v later sequence %d fenced: %v", test.after, test.sequence, got)
		}
	}
	for number := range uint64(1000) {
		tracker.Note("k", 7+number, now.Add(time.Duration(number)))
	}
	if count := len(tracker.reports["k"]); count > maximumReports {
		t.Fatalf("%d reports", count)
	}
	if !tracker.Clear(now.Add(time.Second), "k", 900) {
		t.Fatal("a late sequence is not fenced")
	}
}
