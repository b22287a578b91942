package load

import (
	"testing"
	"time"

	"wardtray/wire"
)

// At first one daemon may send one request to a new runner. Each step admits one more daemon, and after the slow start
// all daemons may use the runner without its limits.
func TestSlowStartAdmitsDaemonsStepByStep(t *testing.T) {
	daemons := []string{"d1", "d2", "d3"}
	listedAt := started.Add(time.Hour)
	for _, step := range []struct {
		after     time.Duration
		daemons   int
		requests  int
		slowStart bool
	}{
		{0, 1, 1, true},
		{SlowStartStep, 2, 1, true},
		{2 * SlowStartStep, 3, 1, true},
		{stepsPerRequest * SlowStartStep, 3, 2, true},
		{SlowStartDuration, 3, 6, false},
	} {
		admitted := 0
		for _, daemon := range daemons {
			table := NewTable(started, daemon)
			table.UpdateListing(listedAt, []*wire.Runner{{RunnerId: "r", State: stateReady}})
			found, _ := table.Lookup(listedAt.Add(step.after), "r", daemons)
			if found.SlowStart != step.slowStart || found.Limit != 0 && found.Limit != step.requests {
				t.Errorf("after %v: %+v", step.after, found)
			}
			if found.Limit > 0 {
				admitted++
			}
		}
		if admitted != step.daemons {
			t.Errorf("after %v: %d daemons are admitted, want %d", step.after, admitted, step.daemons)
		}
	}
}
