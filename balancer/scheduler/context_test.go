package scheduler

import (
	"testing"
	"time"
)

// The connections that a runner accepts are divided among the daemons.
func TestConnectionLimitIsSharedByDaemons(t *testing.T) {
	fixture := newFixture(t, 1)
	snapshot := fixture.Scheduler.snapshot
	fixture.Scheduler.snapshot = func(now time.Time) Snapshot {
		changed := snapshot(now)
		changed.Daemons, changed.Backend.ConnectionLimit = 9, 30
		return changed
	}
	for index := range 4 {
		_, answered := fixture.schedule(fixture.request("l", 1, 1, time.Minute, "x"))
		if answered != (index < 3) {
			t.Fatalf("request %d: decided at once %v", index, answered)
		}
	}
}
