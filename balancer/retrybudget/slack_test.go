package retrybudget

import (
	"testing"
	"time"
)

// retries returns how many retries a budget allows at once.
func retries(budget *Budget, now time.Time) (count int) {
	for budget.AllowRetry(now) {
		count++
	}
	return count
}

// All daemons together grant less than the slack, and one that has just started grants nothing of its share, which a
// previous incarnation may have spent.
func TestSlackIsSharedOut(t *testing.T) {
	settings := Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}
	now := time.Unix(1_700_000_000, 0)
	fresh := New(settings, func() int { return 9 })
	if granted := retries(fresh, now); granted != 0 {
		t.Fatalf("a daemon that has just started grants %d", granted)
	}
	now = now.Add(settings.Window + time.Second)
	total := 0
	for range 9 {
		budget := New(settings, func() int { return 9 })
		budget.RecordRequest(now.Add(-settings.Window - time.Second))
		total += retries(budget, now)
	}
	if total == 0 || total > 58 {
		t.Fatalf("%d retries from a slack of 58", total)
	}
}

// A daemon that is partitioned from the others sees none of them; they have their shares all the same.
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
			t.Fatalf("%d retries after a partition, %d before", granted, before)
		}
	}
}
