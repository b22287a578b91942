package registry

import (
	"fmt"
	"testing"
	"time"

	"wardtray/wire"
)

// registerFor lets some runners call for some time.
func (core *core) registerFor(duration time.Duration, call *uint64, ids ...string) {
	for end := core.now.Add(duration); core.now.Before(end); {
		*call++
		for _, id := range ids {
			core.register(ready(id, *call))
		}
		core.advance(heartbeat)
	}
}

func TestRunnerTurnsSilentAndReadyAgain(t *testing.T) {
	core, call := newCore(t), uint64(0)
	core.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	core.registerFor(2*time.Second, &call, "r1", "r2")
	if core.state("r3") != Ready {
		t.Fatal("silent too early")
	}
	core.registerFor(2*time.Second, &call, "r1", "r2")
	if core.state("r3") != Silent || core.state("r1") != Ready || core.registrar.Counters().Silent != 1 {
		t.Fatal(core.state("r3"), core.state("r1"))
	}
	core.registerFor(time.Second, &call, "r1", "r2", "r3")
	if core.state("r3") != Ready || core.registrar.Counters().Revived != 1 {
		t.Fatal(core.state("r3"))
	}
}

// Nobody is called silent by a core that has just begun, that was frozen, or that hears neither the other
// cores nor most runners; nor most runners at once before long.
func TestCoreThatCannotKnowCallsNobodySilent(t *testing.T) {
	records := []*wire.Runner{ready("r1", 1), ready("r2", 1), ready("r3", 1)}
	fresh := newCore(t)
	fresh.registrar.HandleUpdate(fresh.now, "c1", &wire.RunnerUpdate{Runners: records})
	fresh.advance(graceHeartbeats*heartbeat - 100*time.Millisecond)
	if fresh.state("r1") != Ready {
		t.Error("silent by a core that has just begun")
	}
	frozen, call := newCore(t), uint64(0)
	frozen.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	frozen.now = frozen.now.Add(time.Minute)
	frozen.registrar.Resume(frozen.now)
	frozen.advance(3 * time.Second)
	if frozen.state("r1") != Ready {
		t.Error("silent by a core that was frozen")
	}
	alone, call := newCore(t), uint64(0)
	alone.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	alone.joined = false
	alone.advance(time.Minute)
	if alone.state("r1") != Ready {
		t.Error("silent by a core that is cut off")
	}
	most, call := newCore(t), uint64(0)
	ids := make([]string, 8)
	for number := range ids {
		ids[number] = fmt.Sprint("r", number)
	}
	most.registerFor(8*time.Second, &call, ids...)
	most.registerFor(8*time.Second, &call, ids[:2]...)
	if most.state("r7") != Ready {
		t.Error("most are silent at once")
	}
	most.registerFor(6*time.Second, &call, ids[:2]...)
	if most.state("r7") != Silent || most.state("r0") != Ready {
		t.Error("never silent", most.state("r7"))
	}
}

// A core that no runner calls learns from the others who calls them; and where one of them was wrong, who
// hears the runner says so at once.
func TestOtherCoresHeartbeatsCount(t *testing.T) {
	core := newCore(t)
	both := &wire.RunnerUpdate{Runners: []*wire.Runner{ready("r1", 1), ready("r2", 1)}}
	core.registrar.HandleUpdate(core.now, "c1", both)
	for call := uint64(2); call < 14; call++ {
		heartbeats := &wire.RunnerHeartbeats{Calls: []*wire.RunnerVersion{{RunnerId: "r1", Call: call}}}
		core.registrar.HandleHeartbeats(core.now, heartbeats)
		core.advance(heartbeat)
	}
	if core.state("r1") != Ready || core.state("r2") != Silent {
		t.Fatal(core.state("r1"), core.state("r2"))
	}
	core.updates()
	silent := withState(ready("r1", 1), Silent, 10)
	core.registrar.HandleUpdate(core.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{silent}})
	core.advance(50 * time.Millisecond)
	updates := core.updates()["d0"]
	if core.state("r1") != Ready || len(updates) != 1 || updates[0].Runners[0].Call != 13 {
		t.Fatal(core.state("r1"), updates)
	}
}
