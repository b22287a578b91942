package load

import (
	"time"

	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

// tableOf returns the table of daemon d1, in which runners with these IDs are listed as ready since the daemon's start.
func tableOf(runners ...string) *Table {
	table := NewTable(started, "d1")
	listed := make([]*wire.Runner, 0, len(runners))
	for _, runner := range runners {
		listed = append(listed, &wire.Runner{RunnerId: runner, Zone: "a", State: "ready"})
	}
	table.UpdateListing(started, listed)
	return table
}
