package retrybudget

import (
	"testing"
	"time"
)

// retries returns the number of retries that a budget allows at the time now.
func retries(budget *Budget, now time.Time) (count int) {
	for budget.AllowRetry(now) {
		count++
	}
	return count
}

// All daemons together grant at most the slack. A daemon that has just started grants nothing, because the previous
// incarnation of the process may have spent its share within the same window.
func TestSlackIsSharedOut(t *testing.T) {
	settings := Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}
	now := time.Unix(1_700_000_000, 0)
	fresh := New(settings, func() int { return 9 })
	if granted := retries(fresh, now); granted != 0 {
		t.Fatalf("a daemon that has just started grants %d retries, want 0", granted)
	}
	now = now.Add(settings.Window + time.Second)
	total := 0
	for range 9 {
		budget := New(settings, func() int { return 9 })
		budget.RecordRequest(now.Add(-settings.Window - time.Second))
		total += retries(budget, now)
	}
	if total == 0 || total > 58 {
		t.Fatalf("all daemons together grant %d retries from a slack of 58", total)
	}
}

// A daemon that is partitioned from the others sees only itself, but the others still spend their shares. It must not
// take the complete slack for itself.
func TestSlackSurvivesAPartition(t *testing.T) {
	settings := Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 90}
	now, seen := time.Unix(1_700_000_000, 0), 9
	budget := New(settings, func() int { return seen })
	budget.RecordRequest(now)
	now = now.Add(settings.Window + time.Second)
	before := retries(budget, now)
	seen = 1
	for range 2 {
		now = now.Add(settings.Window + time.Second)
		if granted := retries(budget, now); granted > before {
			t.Fatalf("%d retries after the partition, %d before it", granted, before)
		}
	}
}
