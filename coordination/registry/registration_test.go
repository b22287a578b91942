package registry

import (
	"testing"
	"time"
)

func TestRetriedCallsSendNothing(t *testing.T) {
	core := newCore(t)
	got := core.register(ready("r1", 1))
	if *got != "" {
		t.Fatal("acknowledged before any update was sent")
	}
	core.advance(50 * time.Millisecond)
	updates := core.updates()
	for _, address := range []string{"d0", "d1", "c1"} {
		if *got != Accepted || len(updates[address]) != 1 {
			t.Fatal(address, *got, updates)
		}
	}
	for number := range 10 {
		core.advance(heartbeat)
		core.register(ready("r1", uint64(number+2)))
	}
	if updates := core.updates(); len(updates) != 0 {
		t.Fatal(updates)
	}
	moved := ready("r1", 20)
	moved.Slots = 9
	core.register(moved)
	core.advance(50 * time.Millisecond)
	if updates := core.updates(); len(updates["d0"]) != 1 || updates["d0"][0].Runners[0].Slots != 9 {
		t.Fatal(updates)
	}
}

func TestLateCallsChangeNothing(t *testing.T) {
	core := newCore(t)
	core.register(ready("r1", 5))
	late := ready("r1", 5)
	late.Address = "10.0.0.9:9"
	if got := core.register(late); *got != Outdated || core.registrar.Record("r1").Address == late.Address {
		t.Fatal(*got)
	}
	core.daemons = nil
	core.register(draining(6))
	for call := uint64(4); call < 9; call++ {
		if got := core.register(ready("r1", call)); *got == "" || core.state("r1") != Draining {
			t.Fatal(call, *got, core.state("r1"))
		}
	}
	core.registrar.Deregister(core.now, "r1", func(Outcome) {})
	if got := core.register(ready("r1", 100)); *got != Outdated || core.state("r1") != Gone {
		t.Fatal(*got, core.state("r1"))
	}
}

func TestIsolatedCoreRejectsCalls(t *testing.T) {
	core := newCore(t)
	core.isolated = true
	if got := core.register(ready("r1", 1)); *got != Unreachable || core.registrar.Record("r1") != nil {
		t.Fatal(*got)
	}
	core.registrar.Deregister(core.now, "r1", func(outcome Outcome) {
		if outcome != Unreachable {
			t.Error(outcome)
		}
	})
	core.isolated = false
	got := core.register(ready("r1", 1))
	core.advance(50 * time.Millisecond)
	if *got != Accepted {
		t.Fatal(*got)
	}
}

func TestAddressBelongsToTheLastCaller(t *testing.T) {
	core := newCore(t)
	core.register(ready("r1", 5))
	taker := ready("r2", 1)
	taker.Address = ready("r1", 1).Address
	core.register(taker)
	if core.state("r1") != Silent || core.state("r2") != Ready {
		t.Fatal(core.state("r1"), core.state("r2"))
	}
	// A call of the former one that was long on its way displaces the present one until that calls again.
	core.register(ready("r1", 6))
	again := ready("r2", 2)
	again.Address = taker.Address
	core.register(again)
	if core.state("r1") != Silent || core.state("r2") != Ready {
		t.Fatal(core.state("r1"), core.state("r2"))
	}
}
