package simulation

import (
	"fmt"
	"math/rand"
	"strings"
	"time"

	"wardtray/control/node"
	"wardtray/wire"
)

const (
	// bootRetryInterval is the interval at which a control node that can't start from its disk is started again, as a
	// supervisor does.
	bootRetryInterval = time.Second
	// shutdownGracePeriod is the time within which a machine that was asked to stop must end.
	shutdownGracePeriod = 5 * time.Second
	// shutdownPollInterval is the interval at which a process that shuts down is asked whether it may end.
	shutdownPollInterval = 20 * time.Millisecond
)

// coreProcess is the control node of one host with its disk.
type coreProcess struct {
	host *Host
	// node is the state machine of the last process, which may have ended; nil: none has run since the disk was wiped.
	node    *node.Node
	storage *coreStorage
	// hasStarted means that a process has started before, or that the machine was added after the fleet's first start:
	// only the very first start may found a fleet.
	hasStarted bool
}

func newCoreProcess(host *Host) *coreProcess {
	core := &coreProcess{host: host}
	core.storage = newCoreStorage(core)
	return core
}

// boot starts the node from the disk's contents. If that fails, it is tried again after bootRetryInterval.
func (core *coreProcess) boot() {
	host, world := core.host, core.host.world
	now, random := host.localTime(), rand.New(rand.NewSource(world.random.Int63()))
	restored, err := core.storage.recoverState(func() string {
		world.identities++
		return fmt.Sprintf("disk-%d-%s", world.identities, host.Address)
	})
	if err != nil {
		core.bootLater()
		return
	}
	founding := !core.hasStarted
	core.hasStarted = true
	core.node = node.New(
		now,
		node.Settings{Address: host.Address, Zone: host.Zone, Seeds: host.seeds, Founders: world.founders,
			Founding: founding, Faults: world.Faults, RunnerHeartbeat: heartbeatInterval},
		restored.State,
		restored.Records,
		random,
	)
	host.repeat(host.incarnation, tickInterval, func() { core.node.Tick(host.localTime()) })
}

// bootLater marks the process as down and starts it after bootRetryInterval, unless something else has started it by
// then.
func (core *coreProcess) bootLater() {
	host := core.host
	host.up = false
	incarnation := host.incarnation
	host.world.After(bootRetryInterval, func() {
		if host.incarnation == incarnation {
			host.Boot()
		}
	})
}

// afterStep sends the node's messages and writes its records to the disk.
func (core *coreProcess) afterStep() {
	outbox, writes := core.node.Ready()
	core.host.world.network.send(core.host, outbox)
	core.storage.enqueue(writes)
	core.host.world.Check.step(core.host)
}

// receive passes a message to the node.
func (core *coreProcess) receive(envelope *wire.Envelope) {
	core.node.Receive(core.host.localTime(), envelope)
}

// connectionRefused notifies the node that an address refused a connection.
func (core *coreProcess) connectionRefused(address string, tried time.Time) {
	core.node.ConnectionRefused(core.host.localTime(), address, tried)
}

// end drops the queued writes; what the disk has synced stays.
func (core *coreProcess) end() { core.storage.reset() }

// isLeading reports whether the process runs and its node may act as the head of the chain.
func (core *coreProcess) isLeading() bool {
	return core.host.up && !core.host.frozen && core.node.IsLeading(core.host.localTime())
}

// hasSynced reports whether the disk holds a configuration of at least this epoch, committed or pending.
func (core *coreProcess) hasSynced(epoch uint64) bool {
	chain := core.node.Chain()
	if chain.Committed().SpecEpoch >= epoch && chain.Synced() >= chain.Committed().Sequence {
		return true
	}
	for _, entry := range chain.Pending() {
		if entry.SpecEpoch >= epoch && entry.Sequence <= chain.Synced() {
			return true
		}
	}
	return false
}

// decommission shuts the process down: the node announces that it leaves, and the process ends once it may, or after
// shutdownGracePeriod.
func (core *coreProcess) decommission(ended func()) {
	host, world := core.host, core.host.world
	started := world.Now
	host.runInProcess(host.incarnation, func() { core.node.Decommission(host.localTime()) })
	var poll func()
	poll = func() {
		if host.up && !core.node.IsDecommissioned(host.localTime()) && world.Now.Sub(started) < shutdownGracePeriod {
			world.After(shutdownPollInterval, poll)
			return
		}
		host.Kill()
		ended()
	}
	poll()
}

// wipe kills the process and replaces its disk by an empty one; the next start gets a new identity.
func (core *coreProcess) wipe() {
	core.host.Kill()
	core.storage.disk, core.node = newDisk(core.host.world.random), nil
}

// describe writes the node's state.
func (core *coreProcess) describe(text *strings.Builder) {
	host := core.host
	status := core.node.Status(host.localTime())
	fmt.Fprintf(text, "  %s %s %s, view %d, leading %v, lease %v, unhealthy %v, synced %d, committed %d, pending %d, ",
		host.Address, status.ID, status.Position, status.View, status.IsLeading, status.HoldsLease, status.Unhealthy,
		status.Synced, status.Committed, status.Pending)
	fmt.Fprintf(text, "learned in view %d, frozen %v, stalled %v\n",
		core.node.Chain().LearnedView(), host.frozen, core.storage.stalled)
	for _, member := range status.Chain {
		fmt.Fprintf(text, "    chain %s %s alive %v\n", member.ID, member.Address, member.IsAlive)
	}
	for _, member := range status.Acceptors {
		fmt.Fprintf(text, "    acceptor %s %s alive %v\n", member.ID, member.Address, member.IsAlive)
	}
}
