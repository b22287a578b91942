package simulation

import (
	"testing"
	"time"

	"wardtray/control/proposal"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func TestCoreProcessIsTriedAgainUntilItsDiskLetsItStart(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	host := world.Cores()[0]
	host.core.wipe()
	undo := fillDisk(world, host)
	host.Boot()
	if host.Up() {
		t.Fatal("a control node runs without space on its empty disk")
	}
	undo()
	world.Run(2 * bootRetryInterval)
	if !host.Up() {
		t.Error("the control node does not run although its disk has space again")
	}
}

func TestCoreProcessKeepsItsIdentityUnlessItsDiskIsLost(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	host := world.Cores()[0]
	first := host.core.node.Self().Id
	host.Kill()
	host.Boot()
	if again := host.core.node.Self().Id; again != first {
		t.Errorf("identity %s became %s after a restart", first, again)
	}
	host.core.wipe()
	host.Boot()
	if wiped := host.core.node.Self().Id; wiped == first {
		t.Errorf("identity %s was kept without its disk", first)
	}
}

func TestCoreProcessEndsAsPlanned(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	host, ended := world.Cores()[0], false
	host.core.decommission(func() { ended = true })
	world.Run(shutdownGracePeriod + time.Second)
	if !ended || host.Up() {
		t.Errorf("node ended %v, host up %v", ended, host.Up())
	}
}

func TestCoreStorageWritesAllThatWaitsInOneBatch(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	storage := world.Cores()[0].core.storage
	storage.stalled = true
	world.Run(time.Second)
	storage.reset()
	storage.enqueue([]statemachine.Write{{}, {}})
	storage.enqueue([]statemachine.Write{{}})
	if storage.writing || len(storage.queued) != 3 {
		t.Fatalf("a batch is being written %v, %d writes queued while the disk stalls", storage.writing, len(storage.queued))
	}
	storage.resume()
	if !storage.writing || len(storage.queued) != 0 {
		t.Errorf("a batch is being written %v, %d writes queued after the stall", storage.writing, len(storage.queued))
	}
}

func TestCoreStorageHoldsAStalledBatchBack(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	core := world.injector.head().core
	order := world.Check.Send(core.host,
		&wire.OperatorRequest{Verb: proposal.VerbApply, Spec: SpecText(1), HasBase: true, Operation: "change"})
	core.storage.stalled = true
	synced := core.node.Chain().Synced()
	world.Run(300 * time.Millisecond)
	if core.node.Chain().Synced() != synced || order.isAnswered() {
		t.Errorf("synced %d after %d, the change is %s, while the disk stalls", core.node.Chain().Synced(), synced,
			order.Outcome)
	}
	core.storage.resume()
	world.Run(2 * time.Second)
	if core.node.Chain().Synced() == synced || !order.isAccepted() {
		t.Errorf("synced %d, the change is %s, after the stall", core.node.Chain().Synced(), order.Outcome)
	}
}

func TestCoreStorageForgetsTheWritesOfAnEndedProcess(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	host := world.Cores()[0]
	storage := host.core.storage
	storage.enqueue([]statemachine.Write{{}})
	host.Kill()
	if storage.writing || len(storage.queued) != 0 {
		t.Errorf("a batch is being written %v, %d writes queued after the end", storage.writing, len(storage.queued))
	}
}
