package registry

import (
	"testing"
	"time"
)

// Heartbeats that change nothing must not be sent to every process; the first call and changes must be.
func TestRetriedCallsSendNothing(t *testing.T) {
	node := newTestNode(t)
	got := node.register(ready("r1", 1))
	if *got != "" {
		t.Fatal("accepted before any update was sent")
	}
	node.advance(50 * time.Millisecond)
	updates := node.drainUpdates()
	for _, address := range []string{"d0", "d1", "c1"} {
		if *got != Accepted || len(updates[address]) != 1 {
			t.Fatal(address, *got, updates)
		}
	}
	for number := range 10 {
		node.advance(heartbeat)
		node.register(ready("r1", uint64(number+2)))
	}
	if updates := node.drainUpdates(); len(updates) != 0 {
		t.Fatal(updates)
	}
	moved := ready("r1", 20)
	moved.Slots = 9
	node.register(moved)
	node.advance(50 * time.Millisecond)
	if updates := node.drainUpdates(); len(updates["d0"]) != 1 || updates["d0"][0].Runners[0].Slots != 9 {
		t.Fatal(updates)
	}
}

// A delayed call must not overwrite a later one, nor bring back a runner that drains or is gone.
func TestLateCallsChangeNothing(t *testing.T) {
	node := newTestNode(t)
	node.register(ready("r1", 5))
	late := ready("r1", 5)
	late.Address = "10.0.0.9:9"
	if got := node.register(late); *got != Outdated || node.registrar.Record("r1").Address == late.Address {
		t.Fatal(*got)
	}
	node.daemons = nil
	node.register(draining(6))
	for call := uint64(4); call < 9; call++ {
		if got := node.register(ready("r1", call)); *got == "" || node.state("r1") != Draining {
			t.Fatal(call, *got, node.state("r1"))
		}
	}
	node.registrar.Deregister(node.now, "r1", func(Outcome) {})
	if got := node.register(ready("r1", 100)); *got != Outdated || node.state("r1") != Gone {
		t.Fatal(*got, node.state("r1"))
	}
}

// A control node that reaches no other process must reject calls, so that the runner calls another one.
func TestIsolatedCoreRejectsCalls(t *testing.T) {
	node := newTestNode(t)
	node.isolated = true
	if got := node.register(ready("r1", 1)); *got != Unreachable || node.registrar.Record("r1") != nil {
		t.Fatal(*got)
	}
	node.registrar.Deregister(node.now, "r1", func(outcome Outcome) {
		if outcome != Unreachable {
			t.Error(outcome)
		}
	})
	node.isolated = false
	got := node.register(ready("r1", 1))
	node.advance(50 * time.Millisecond)
	if *got != Accepted {
		t.Fatal(*got)
	}
}

// A runner that starts at the address of a former runner must replace it. Otherwise requests for the former runner
// would reach the new one.
func TestAddressBelongsToTheLastCaller(t *testing.T) {
	node := newTestNode(t)
	node.register(ready("r1", 5))
	successor := ready("r2", 1)
	successor.Address = ready("r1", 1).Address
	node.register(successor)
	if node.state("r1") != Silent || node.state("r2") != Ready {
		t.Fatal(node.state("r1"), node.state("r2"))
	}
	// A delayed call of the former runner displaces the present runner until the present runner calls again.
	node.register(ready("r1", 6))
	again := ready("r2", 2)
	again.Address = successor.Address
	node.register(again)
	if node.state("r1") != Silent || node.state("r2") != Ready {
		t.Fatal(node.state("r1"), node.state("r2"))
	}
}
