package registry

import (
	"fmt"
	"testing"
	"time"

	"wardtray/wire"
)

// registerFor lets some runners call once per heartbeat for some time.
func (node *testNode) registerFor(duration time.Duration, call *uint64, ids ...string) {
	for end := node.now.Add(duration); node.now.Before(end); {
		*call++
		for _, id := range ids {
			node.register(ready(id, *call))
		}
		node.advance(heartbeat)
	}
}

// A runner that stops calling must be marked silent, but not before its timeout, and become ready with its next call.
func TestRunnerTurnsSilentAndReadyAgain(t *testing.T) {
	node, call := newTestNode(t), uint64(0)
	node.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	node.registerFor(2*time.Second, &call, "r1", "r2")
	if node.state("r3") != Ready {
		t.Fatal("marked silent before the timeout")
	}
	node.registerFor(2*time.Second, &call, "r1", "r2")
	if node.state("r3") != Silent || node.state("r1") != Ready || node.registrar.Counters().Silent != 1 {
		t.Fatal(node.state("r3"), node.state("r1"))
	}
	node.registerFor(time.Second, &call, "r1", "r2", "r3")
	if node.state("r3") != Ready || node.registrar.Counters().Revived != 1 {
		t.Fatal(node.state("r3"))
	}
}

// A control node must not mark runners silent when missing calls may be its own fault: just after its start, after it
// was frozen, or while it receives messages from neither the other control nodes nor most runners. If most runners seem
// silent at once, it must wait longer.
func TestCoreThatCannotKnowCallsNobodySilent(t *testing.T) {
	records := []*wire.Runner{ready("r1", 1), ready("r2", 1), ready("r3", 1)}
	fresh := newTestNode(t)
	fresh.registrar.HandleUpdate(fresh.now, "c1", &wire.RunnerUpdate{Runners: records})
	fresh.advance(graceHeartbeats*heartbeat - 100*time.Millisecond)
	if fresh.state("r1") != Ready {
		t.Error("marked silent by a control node that has just started")
	}
	frozen, call := newTestNode(t), uint64(0)
	frozen.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	frozen.now = frozen.now.Add(time.Minute)
	frozen.registrar.Resume(frozen.now)
	frozen.advance(3 * time.Second)
	if frozen.state("r1") != Ready {
		t.Error("marked silent by a control node that was frozen")
	}
	alone, call := newTestNode(t), uint64(0)
	alone.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	alone.hearsMost = false
	alone.advance(time.Minute)
	if alone.state("r1") != Ready {
		t.Error("marked silent by a control node that is cut off")
	}
	most, call := newTestNode(t), uint64(0)
	ids := make([]string, 8)
	for number := range ids {
		ids[number] = fmt.Sprint("r", number)
	}
	most.registerFor(8*time.Second, &call, ids...)
	most.registerFor(8*time.Second, &call, ids[:2]...)
	if most.state("r7") != Ready {
		t.Error("most runners were marked silent without the longer timeout")
	}
	most.registerFor(6*time.Second, &call, ids[:2]...)
	if most.state("r7") != Silent || most.state("r0") != Ready {
		t.Error("not marked silent after the longer timeout", most.state("r7"))
	}
}

// A control node that no runner calls must rely on the announcements of the others, and one that receives a runner's
// calls must correct another one that marks the runner silent.
func TestOtherCoresHeartbeatsCount(t *testing.T) {
	node := newTestNode(t)
	both := &wire.RunnerUpdate{Runners: []*wire.Runner{ready("r1", 1), ready("r2", 1)}}
	node.registrar.HandleUpdate(node.now, "c1", both)
	for call := uint64(2); call < 14; call++ {
		heartbeats := &wire.RunnerHeartbeats{Calls: []*wire.RunnerVersion{{RunnerId: "r1", Call: call}}}
		node.registrar.HandleHeartbeats(node.now, heartbeats)
		node.advance(heartbeat)
	}
	if node.state("r1") != Ready || node.state("r2") != Silent {
		t.Fatal(node.state("r1"), node.state("r2"))
	}
	node.drainUpdates()
	silent := withState(ready("r1", 1), Silent, 10)
	node.registrar.HandleUpdate(node.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{silent}})
	node.advance(50 * time.Millisecond)
	updates := node.drainUpdates()["d0"]
	if node.state("r1") != Ready || len(updates) != 1 || updates[0].Runners[0].Call != 13 {
		t.Fatal(node.state("r1"), updates)
	}
}
