package node

import (
	"testing"
	"time"
)

// A chain that shrank below its floor takes no changes, but it is the chain: where the one machine left in it loses
// its disk, those of the last chain that took changes hold all that was acknowledged and go on. Found by
// verify/modelcheck (restart-loss): the fleet stood still for good though a machine with everything was back.
func TestTheLastChainThatTookChangesGoesOn(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 1, 3)
	first, second, third := fleet.machines[0], fleet.machines[1], fleet.machines[2]
	fleet.remove(third)
	fleet.runUntil(5*time.Second, "chain of two",
		func() bool { return len(first.node.View().Chain) == 2 && fleet.leader() == first })
	fleet.run(2 * changeEvery)
	fleet.changing = false
	fleet.run(time.Second)
	fleet.remove(second)
	third.unreachable = false
	fleet.start(third, false)
	fleet.runUntil(10*time.Second, "chain of the first alone", func() bool { return len(first.node.View().Chain) == 1 })
	for _, machine := range []*coreMachine{first, third} {
		fleet.remove(machine)
	}
	first.memory, first.records = nil, nil
	for _, machine := range fleet.machines {
		machine.unreachable = false
		fleet.start(machine, false)
	}
	fleet.runUntil(10*time.Second, "leader after the loss", func() bool { return fleet.leader() != nil })
	fleet.requireKept(fleet.leader())
	fleet.runUntil(10*time.Second, "whole fleet", fleet.whole)
}
