package retrybudget

import (
	"testing"
	"time"
)

// retries tells how many repeats a budget gives at once.
func retries(budget *Budget, now time.Time) (count int) {
	for budget.Repeat(now) {
		count++
	}
	return count
}

// All daemons together give out less than the slack, and one that has just begun gives none of its part,
// which an earlier life may have spent.
func TestSlackIsSharedOut(t *testing.T) {
	settings, now := Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}, time.Unix(1_700_000_000, 0)
	fresh := New(settings, func() int { return 9 })
	if given := retries(fresh, now); given != 0 {
		t.Fatalf("a daemon that has just begun gives %d", given)
	}
	now = now.Add(settings.Window + time.Second)
	sum := 0
	for range 9 {
		budget := New(settings, func() int { return 9 })
		budget.Request(now.Add(-settings.Window - time.Second))
		sum += retries(budget, now)
	}
	if sum == 0 || sum > 58 {
		t.Fatalf("%d repeats from a slack of 58", sum)
	}
}

// A daemon that is cut off sees nobody else; the others have their parts all the same.
func TestSlackOutlivesACut(t *testing.T) {
	settings, now, seen := Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 90}, time.Unix(1_700_000_000, 0), 9
	budget := New(settings, func() int { return seen })
	budget.Request(now)
	now = now.Add(settings.Window + time.Second)
	whole := retries(budget, now)
	seen = 1
	for range 2 {
		now = now.Add(settings.Window + time.Second)
		if given := retries(budget, now); given > whole {
			t.Fatalf("%d repeats after a cut, %d before", given, whole)
		}
	}
}
