package load

import (
	"testing"
	"time"

	"wardtray/wire"
)

// A runner that was listed as draining stays draining and unusable when an older list, which arrives late, shows it as
// ready, until drainedRetention has passed.
func TestDrainingRunnerStaysDraining(t *testing.T) {
	table := tableOf("r")
	for _, state := range []string{stateDraining, stateReady} {
		table.UpdateListing(started, []*wire.Runner{{RunnerId: "r", State: state}})
		found, _ := table.Lookup(started, "r", nil)
		if found.Usable || found.Reason != ReasonDraining || found.State != stateDraining {
			t.Errorf("listed as %s: %+v", state, found)
		}
	}
	table.UpdateListing(started.Add(drainedRetention+time.Second), nil)
	table.UpdateListing(started.Add(drainedRetention+time.Second), []*wire.Runner{{RunnerId: "r", State: stateReady}})
	if found, _ := table.Lookup(started.Add(drainedRetention+time.Second), "r", nil); found.State != stateReady {
		t.Errorf("after the retention period: %+v", found)
	}
}
