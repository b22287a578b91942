package scheduler

import (
	"testing"
	"time"
)

// The connection limit of a runner is divided among the daemons. Otherwise all daemons together would exceed it, and
// the runner would reset connections.
func TestConnectionLimitIsSharedByDaemons(t *testing.T) {
	fixture := newFixture(t, 1)
	snapshot := fixture.Scheduler.snapshot
	fixture.Scheduler.snapshot = func(now time.Time) Snapshot {
		changed := snapshot(now)
		changed.Daemons, changed.Backend.ConnectionLimit = 9, 30
		return changed
	}
	for index := range 4 {
		_, decided := fixture.schedule(fixture.request("l", 1, 1, time.Minute, "x"))
		if decided != (index < 3) {
			t.Fatalf("request %d: decided at once: %v, want %v", index, decided, index < 3)
		}
	}
}
