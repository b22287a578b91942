package node

import (
	"testing"
	"time"
)

// Guards against a fleet that never serves again although a machine with every acknowledged change has returned, which
// verify/modelcheck (restart-loss) found. A chain shorter than its minimum accepts no changes; if its last member loses
// its disk, the members of the last chain that accepted changes hold everything acknowledged and must take over.
func TestTheLastChainThatTookChangesGoesOn(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 1, 3)
	first, second, third := fleet.machines[0], fleet.machines[1], fleet.machines[2]
	fleet.remove(third)
	fleet.runUntil(5*time.Second, "chain of two",
		func() bool { return len(first.node.View().Chain) == 2 && fleet.leader() == first })
	fleet.run(2 * changeInterval)
	fleet.changing = false
	fleet.run(time.Second)
	fleet.remove(second)
	third.unreachable = false
	fleet.start(third, false)
	fleet.runUntil(10*time.Second, "chain of the first alone", func() bool { return len(first.node.View().Chain) == 1 })
	for _, machine := range []*controlMachine{first, third} {
		fleet.remove(machine)
	}
	first.state, first.records = nil, nil
	for _, machine := range fleet.machines {
		machine.unreachable = false
		fleet.start(machine, false)
	}
	fleet.runUntil(10*time.Second, "leader after the loss", func() bool { return fleet.leader() != nil })
	fleet.requireKept(fleet.leader())
	fleet.runUntil(10*time.Second, "complete fleet", fleet.complete)
}
