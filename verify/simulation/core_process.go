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
	// bootRetryInterval is after what time a core whose disk lets nothing start is tried again, as a supervisor would.
	bootRetryInterval = time.Second
	// graceTime is within what time a machine that was told to stop has to end.
	graceTime = 5 * time.Second
	// shutdownPollInterval is how often a process that stops as planned is asked whether it may end.
	shutdownPollInterval = 20 * time.Millisecond
)

// coreProcess is the control plane of one host: the node that runs, and the disk from which it starts.
type coreProcess struct {
	host *Host
	// node is the state machine of the last process, which may have ended; nil: there was none since the disk was wiped.
	node    *node.Node
	storage *coreStorage
	// hasStarted means that a process has started before, or that the machine came later than the fleet's first start:
	// only the very first start may found a fleet.
	hasStarted bool
}

func newCoreProcess(host *Host) *coreProcess {
	core := &coreProcess{host: host}
	core.storage = newCoreStorage(core)
	return core
}

// boot starts the node from what the disk holds. While that lets nothing start it is tried again after a while.
func (core *coreProcess) boot() {
	host, world := core.host, core.host.world
	now, random := host.local(), rand.New(rand.NewSource(world.random.Int63()))
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
			Founding: founding, Faults: world.Faults, RunnerHeartbeat: callEvery},
		restored.State,
		restored.Records,
		random,
	)
	host.repeat(host.incarnation, tickEvery, func() { core.node.Tick(host.local()) })
}

// bootLater has the process be down, and tries to start it again, unless something else did before.
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

// afterStep carries out what the node wants: messages go to the network, writes to the disk.
func (core *coreProcess) afterStep() {
	outbox, writes := core.node.Ready()
	core.host.world.network.send(core.host, outbox)
	core.storage.enqueue(writes)
	core.host.world.Check.step(core.host)
}

// receive hands a message to the node.
func (core *coreProcess) receive(envelope *wire.Envelope) {
	core.node.Receive(core.host.local(), envelope)
}

// connectionRefused tells the node that nobody listens at an address.
func (core *coreProcess) connectionRefused(address string, tried time.Time) {
	core.node.ConnectionRefused(core.host.local(), address, tried)
}

// end forgets the writes that wait; what the disk has synced stays.
func (core *coreProcess) end() { core.storage.reset() }

// isLeading reports whether the process runs and its node may act as head now.
func (core *coreProcess) isLeading() bool {
	return core.host.up && !core.host.frozen && core.node.IsLeading(core.host.local())
}

// hasSynced reports whether the disk holds a configuration of at least an epoch, committed or pending.
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

// decommission has the process stop as planned: it says so, and ends once it may, or when its time is over.
func (core *coreProcess) decommission(ended func()) {
	host, world := core.host, core.host.world
	started := world.Now
	host.on(host.incarnation, func() { core.node.Decommission(host.local()) })
	var poll func()
	poll = func() {
		if host.up && !core.node.IsDecommissioned(host.local()) && world.Now.Sub(started) < graceTime {
			world.After(shutdownPollInterval, poll)
			return
		}
		host.Kill()
		ended()
	}
	poll()
}

// wipe ends the process and loses its disk; the next start is of a new identity.
func (core *coreProcess) wipe() {
	core.host.Kill()
	core.storage.disk, core.node = newDisk(core.host.world.random), nil
}

// describe writes the node's state.
func (core *coreProcess) describe(text *strings.Builder) {
	host := core.host
	status := core.node.Status(host.local())
	fmt.Fprintf(text, "  %s %s %s, view %d, leading %v, claim %v, sick %v, synced %d, committed %d, pending %d, ",
		host.Address, status.ID, status.Position, status.View, status.IsLeading, status.HoldsLease, status.Unhealthy,
		status.Synced, status.Committed, status.Pending)
	fmt.Fprintf(text, "learned in %d, frozen %v, stalled %v\n",
		core.node.Chain().LearnedView(), host.frozen, core.storage.stalled)
	for _, member := range status.Chain {
		fmt.Fprintf(text, "    chain  %s %s heard %v\n", member.ID, member.Address, member.IsAlive)
	}
	for _, member := range status.Acceptors {
		fmt.Fprintf(text, "    keeper %s %s heard %v\n", member.ID, member.Address, member.IsAlive)
	}
}
