package node

import (
	"testing"
	"time"
)

// Right after an acknowledgement as many disks are lost as is to be borne, and every other machine loses its power at
// that moment: what was acknowledged is there again, and the fleet serves.
func TestDisksLostWhileAllPowerIs(t *testing.T) {
	t.Parallel()
	for _, tried := range []struct{ faults, cores int }{{1, 3}, {1, 4}, {2, 6}, {2, 8}} {
		for place := range tried.cores {
			fleet := newFleet(t, tried.faults, tried.cores)
			known := len(fleet.acked)
			fleet.runUntil(servingBound, "an acknowledgement", func() bool { return len(fleet.acked) > known })
			for number, machine := range fleet.machines {
				fleet.end(machine)
				// The lost disks are each machine's and those of its neighbours in turn.
				if distance := (number - place + tried.cores) % tried.cores; distance < tried.faults {
					machine.memory, machine.records = nil, nil
				}
			}
			fleet.run(wipedFor)
			for _, machine := range fleet.machines {
				fleet.start(machine, false)
			}
			fleet.requireServing(servingBound + time.Duration(tried.cores)*time.Second)
			fleet.requireKept(fleet.leader())
		}
	}
}
