package simulation

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"wardtray/control/node"
	"wardtray/control/storage"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
	"wardtray/transport/netio"
)

// Boot starts a host's process from what its disk holds.
func (host *Host) Boot() {
	world := host.world
	if host.up || host.removed {
		return
	}
	world.topology.changed()
	host.up, host.frozen, host.backlog, host.writes, host.writing, host.poweredOff = true, false, nil, nil, false, false
	host.incarnation++
	if host.engine != nil {
		host.bootRunner()
		return
	}
	now, random := host.local(), rand.New(rand.NewSource(world.random.Int63()))
	if !host.Core {
		host.bootData(random)
		host.tick(host.incarnation)
		return
	}
	host.disk.dying = false
	restored, err := storage.Recover(host.disk, func() string {
		world.identities++
		return fmt.Sprintf("disk-%d-%s", world.identities, host.Address)
	}, "")
	if err != nil {
		// A full disk lets nothing start; the machine is tried again later, as an operator's supervisor would.
		host.up = false
		incarnation := host.incarnation
		world.After(time.Second, func() {
			if host.incarnation == incarnation {
				host.Boot()
			}
		})
		return
	}
	host.store = restored.Store
	// Only the very first start may found a fleet; a machine whose disk is lost later must not.
	founding := !host.everStarted
	host.everStarted = true
	host.node = node.New(
		now,
		node.Settings{Address: host.Address, Zone: host.Zone, Seeds: host.seeds, Founders: world.founders,
			Founding: founding, Faults: world.Faults, RunnerHeartbeat: callEvery},
		restored.State,
		restored.Records,
		random,
	)
	host.tick(host.incarnation)
}

// on runs something in a host's process, or later if it is frozen, or never if it ended.
func (host *Host) on(incarnation int, do func()) {
	world := host.world
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.frozen {
		host.backlog = append(host.backlog, func() { host.on(incarnation, do) })
		return
	}
	do()
	if host.engine != nil {
		return
	}
	host.drain()
	host.recordLease()
	world.coroutines.stir(host)
	world.Check.step(host)
}

func (host *Host) tick(incarnation int) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		host.on(incarnation, func() {
			now := host.local()
			if host.Core {
				host.node.Tick(now)
				return
			}
			host.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
		})
	}
	host.world.After(tickEvery, func() { host.tick(incarnation) })
}

func (host *Host) drain() {
	if !host.Core {
		return
	}
	outbox, writes := host.node.Ready()
	host.world.network.send(host, outbox)
	host.writes = append(host.writes, writes...)
	host.write()
}

// write lets the disk carry out what waits, one batch at a time.
func (host *Host) write() {
	world := host.world
	if host.writing || len(host.writes) == 0 || host.stalled {
		return
	}
	host.writing = true
	batch, incarnation := host.writes, host.incarnation
	host.writes = nil
	world.After(time.Millisecond+time.Duration(world.random.Int63n(int64(3*time.Millisecond)))+host.diskDelay, func() {
		host.finishWrite(incarnation, batch)
	})
}

func (host *Host) finishWrite(incarnation int, batch []statemachine.Write) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.stalled {
		host.world.After(20*time.Millisecond, func() { host.finishWrite(incarnation, batch) })
		return
	}
	host.writing = false
	// The disk works on while the process is frozen; the process hears of it when it wakes.
	storage.WriteBatch(host.store, batch, func(sequence uint64) {
		host.on(incarnation, func() { host.node.Synced(host.local(), sequence) })
	}, func(error) {
		host.on(incarnation, func() { host.node.DiskFailed(host.local()) })
	})
	host.write()
}

// Kill ends a process; what its disk has synced stays.
func (host *Host) Kill() {
	world := host.world
	host.endStreams()
	if host.up && !host.poweredOff && host.engine == nil {
		world.network.closeConnections(host)
	}
	world.topology.changed()
	host.up = false
	host.incarnation++
	host.backlog, host.writes, host.writing = nil, nil, false
	host.controller, host.plane = nil, nil
}

// Power takes the power from a machine in the middle of whatever it was writing.
func (host *Host) Power() {
	if host.Core && host.up && len(host.writes) > 0 {
		host.disk.dying = true
		storage.WriteBatch(host.store, host.writes, func(uint64) {}, func(error) {})
	}
	host.poweredOff = true
	host.Kill()
}

// Wipe loses a disk; the next start is of a new identity.
func (host *Host) Wipe() {
	host.Kill()
	host.disk, host.node = newDisk(host.world.random), nil
}

// Freeze stops a process without ending it; Wake lets it go on, with all that came meanwhile.
func (host *Host) Freeze() {
	host.frozen = true
	host.world.topology.changed()
}

// Wake ends a freeze.
func (host *Host) Wake() {
	world := host.world
	if !host.frozen {
		return
	}
	host.frozen, host.wokenAt = false, world.Now
	world.topology.changed()
	held := host.backlog
	host.backlog = nil
	for _, do := range held {
		do()
	}
}

// bootData starts a data daemon as its process would.
func (host *Host) bootData(random *rand.Rand) {
	world := host.world
	incarnation := host.incarnation
	made, err := dataplane.New(netio.Environment{
		Now:  func() time.Time { return host.local() },
		Go:   func(work func()) { world.coroutines.spawn(host, work) },
		Wait: world.coroutines.wait,
		Dial: func(ctx context.Context, address string, terms netio.Timeouts) (netio.Conn, error) {
			return world.network.dial(ctx, host, address, terms)
		},
	}, dataplane.Settings{
		Settings: controller.Settings{Address: host.Address, HTTP: host.Address, Zone: host.Zone, Seeds: host.seeds,
			Registered: world.RegisteringRunners != nil, WithoutCore: world.WithoutCore},
		Random: random, Await: world.coroutines.await,
		Send: func(outbox []statemachine.Message) { world.network.send(host, outbox) },
		Poll: func() { world.Platform.poll(host, incarnation) }, Log: discardLog,
	})
	if err != nil {
		panic(err)
	}
	host.plane = made
	made.WithController(func(machine *controller.Controller) { host.controller = machine })
	if world.Traffic == nil {
		return
	}
	host.every(incarnation, dataplane.RebalanceInterval, made.Rebalance)
	host.every(incarnation, dataplane.ProbeInterval, made.ProbeStale)
	host.every(incarnation, dataplane.UnresponsiveProbeInterval, made.ProbeUnresponsive)
	host.every(incarnation, dataplane.IndexAgingInterval, made.AgeIndex)
}

// recordLease notes since when a data daemon has been sure of its spec.
func (host *Host) recordLease() {
	if host.plane == nil {
		return
	}
	if local := host.local(); !local.Before(host.leasedUntil) {
		host.leasedSince = host.world.Now
	}
	host.leasedUntil = host.plane.Snapshot().Until
}

// every does something in a host's process again and again, while that lives and is not frozen.
func (host *Host) every(incarnation int, length time.Duration, do func()) {
	world := host.world
	world.After(time.Duration(world.random.Int63n(int64(length))),
		func() { host.again(incarnation, length, do) })
}

func (host *Host) again(incarnation int, length time.Duration, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		host.on(incarnation, do)
	}
	host.world.After(length, func() { host.again(incarnation, length, do) })
}

// endCoroutines unwinds all work of a host.
func (host *Host) endCoroutines() {
	for _, coroutine := range host.coroutines {
		coroutine.finished = true
		coroutine.stop()
	}
	host.coroutines = nil
}

// endStreams ends all work of a host that is about to end, and the connections that it had.
func (host *Host) endStreams() {
	host.endCoroutines()
	for _, conn := range host.conns {
		conn.crash(!host.poweredOff)
	}
	host.conns = nil
	clients := host.clients
	host.clients = nil
	for _, client := range clients {
		client.loseDaemon()
	}
}

// leaveInOrder has a core machine stop as its process does: it says so, ends once it may, or when its time is over.
func (host *Host) leaveInOrder(then func()) {
	world := host.world
	started := world.Now
	host.on(host.incarnation, func() { host.node.Decommission(host.local()) })
	var look func()
	look = func() {
		if host.up && !host.node.IsDecommissioned(host.local()) && world.Now.Sub(started) < graceTime {
			world.After(20*time.Millisecond, look)
			return
		}
		host.Kill()
		then()
	}
	look()
}

// drainTime is how long a daemon told to stop goes on taking requests.
const drainTime = 2 * time.Second

// drainData restarts a data daemon as planned: it fails its fitness, finishes all that it has read, ends
// and is started again.
func (host *Host) drainData() {
	if !host.up || host.frozen {
		return
	}
	incarnation := host.incarnation
	host.on(incarnation, host.plane.Drain)
	var look func()
	look = func() {
		if host.incarnation != incarnation || !host.up {
			return
		}
		if host.frozen || !host.plane.Drained(drainTime) {
			host.world.After(20*time.Millisecond, look)
			return
		}
		host.Kill()
		host.Boot()
	}
	look()
}

// reach runs something at a host, if it is there.
func (host *Host) reach(do func()) {
	if !host.up || host.poweredOff || host.frozen && len(host.backlog) >= backlogLimit {
		return
	}
	host.on(host.incarnation, do)
}

// resetConnections loses all that is on its way to or from a machine.
func (host *Host) resetConnections() { host.resetAt = host.world.Now }
