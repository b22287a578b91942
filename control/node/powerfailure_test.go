package node

import (
	"testing"
	"time"
)

// Guards against the loss of acknowledged changes: right after an acknowledgement all machines lose power, and as many
// lose their disks as the fleet must tolerate. Afterwards every acknowledged change must be present, and the fleet must
// serve.
func TestDisksLostInAPowerFailure(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ faults, machines int }{{1, 3}, {1, 4}, {2, 6}, {2, 8}} {
		for firstLost := range test.machines {
			fleet := newFleet(t, test.faults, test.machines)
			before := len(fleet.acked)
			fleet.runUntil(servingBound, "an acknowledgement", func() bool { return len(fleet.acked) > before })
			for number, machine := range fleet.machines {
				fleet.end(machine)
				// The lost disks are those of consecutive machines, beginning with firstLost.
				if distance := (number - firstLost + test.machines) % test.machines; distance < test.faults {
					machine.state, machine.records = nil, nil
				}
			}
			fleet.run(wipeDowntime)
			for _, machine := range fleet.machines {
				fleet.start(machine, false)
			}
			fleet.requireServing(servingBound + time.Duration(test.machines)*time.Second)
			fleet.requireKept(fleet.leader())
		}
	}
}
