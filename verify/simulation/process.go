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
func (world *World) Boot(host *Host) {
	if host.up || host.removed {
		return
	}
	world.topologyChanged()
	host.up, host.frozen, host.backlog, host.writes, host.writing, host.poweredOff = true, false, nil, nil, false, false
	host.incarnation++
	if host.engine != nil {
		world.bootRunner(host)
		return
	}
	now, random := world.local(host), rand.New(rand.NewSource(world.random.Int63()))
	if !host.Core {
		world.bootData(host, random)
		world.tick(host, host.incarnation)
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
				world.Boot(host)
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
	world.tick(host, host.incarnation)
}

// on runs something in a host's process, or later if it is frozen, or never if it ended.
func (world *World) on(host *Host, incarnation int, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.frozen {
		host.backlog = append(host.backlog, func() { world.on(host, incarnation, do) })
		return
	}
	do()
	if host.engine != nil {
		return
	}
	world.drain(host)
	world.recordLease(host)
	world.stir(host)
	world.Check.step(host)
}

func (world *World) tick(host *Host, incarnation int) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		world.on(host, incarnation, func() {
			now := world.local(host)
			if host.Core {
				host.node.Tick(now)
				return
			}
			host.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
		})
	}
	world.After(tickEvery, func() { world.tick(host, incarnation) })
}

func (world *World) drain(host *Host) {
	if !host.Core {
		return
	}
	outbox, writes := host.node.Ready()
	world.send(host, outbox)
	host.writes = append(host.writes, writes...)
	world.write(host)
}

// write lets the disk carry out what waits, one batch at a time.
func (world *World) write(host *Host) {
	if host.writing || len(host.writes) == 0 || host.stalled {
		return
	}
	host.writing = true
	batch, incarnation := host.writes, host.incarnation
	host.writes = nil
	world.After(time.Millisecond+time.Duration(world.random.Int63n(int64(3*time.Millisecond)))+host.diskDelay, func() {
		world.finishWrite(host, incarnation, batch)
	})
}

func (world *World) finishWrite(host *Host, incarnation int, batch []statemachine.Write) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.stalled {
		world.After(20*time.Millisecond, func() { world.finishWrite(host, incarnation, batch) })
		return
	}
	host.writing = false
	// The disk works on while the process is frozen; the process hears of it when it wakes.
	storage.WriteBatch(host.store, batch, func(sequence uint64) {
		world.on(host, incarnation, func() { host.node.Synced(world.local(host), sequence) })
	}, func(error) {
		world.on(host, incarnation, func() { host.node.DiskFailed(world.local(host)) })
	})
	world.write(host)
}

// Kill ends a process; what its disk has synced stays.
func (world *World) Kill(host *Host) {
	world.endStreams(host)
	if host.up && !host.poweredOff && host.engine == nil {
		world.closeConnections(host)
	}
	world.topologyChanged()
	host.up = false
	host.incarnation++
	host.backlog, host.writes, host.writing = nil, nil, false
	host.controller, host.plane = nil, nil
}

// Power takes the power from a machine in the middle of whatever it was writing.
func (world *World) Power(host *Host) {
	if host.Core && host.up && len(host.writes) > 0 {
		host.disk.dying = true
		storage.WriteBatch(host.store, host.writes, func(uint64) {}, func(error) {})
	}
	host.poweredOff = true
	world.Kill(host)
}

// Wipe loses a disk; the next start is of a new identity.
func (world *World) Wipe(host *Host) {
	world.Kill(host)
	host.disk, host.node = newDisk(world.random), nil
}

// Freeze stops a process without ending it; Wake lets it go on, with all that came meanwhile.
func (world *World) Freeze(host *Host) {
	host.frozen = true
	world.topologyChanged()
}

// Wake ends a freeze.
func (world *World) Wake(host *Host) {
	if !host.frozen {
		return
	}
	host.frozen, host.wokenAt = false, world.Now
	world.topologyChanged()
	held := host.backlog
	host.backlog = nil
	for _, do := range held {
		do()
	}
}

// bootData starts a data daemon as its process would.
func (world *World) bootData(host *Host, random *rand.Rand) {
	incarnation := host.incarnation
	made, err := dataplane.New(netio.Environment{
		Now:  func() time.Time { return world.local(host) },
		Go:   func(work func()) { world.spawn(host, work) },
		Wait: world.wait,
		Dial: func(ctx context.Context, address string, terms netio.Timeouts) (netio.Conn, error) {
			return world.dial(ctx, host, address, terms)
		},
	}, dataplane.Settings{
		Settings: controller.Settings{Address: host.Address, HTTP: host.Address, Zone: host.Zone, Seeds: host.seeds,
			Registered: world.RegisteringRunners != nil, WithoutCore: world.WithoutCore},
		Random: random, Await: world.await,
		Send: func(outbox []statemachine.Message) { world.send(host, outbox) },
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
	world.every(host, incarnation, dataplane.RebalanceInterval, made.Rebalance)
	world.every(host, incarnation, dataplane.ProbeInterval, made.ProbeStale)
	world.every(host, incarnation, dataplane.UnresponsiveProbeInterval, made.ProbeUnresponsive)
	world.every(host, incarnation, dataplane.IndexAgingInterval, made.AgeIndex)
}

// recordLease notes since when a data daemon has been sure of its spec.
func (world *World) recordLease(host *Host) {
	if host.plane == nil {
		return
	}
	if local := world.local(host); !local.Before(host.leasedUntil) {
		host.leasedSince = world.Now
	}
	host.leasedUntil = host.plane.Snapshot().Until
}

// every does something in a host's process again and again, while that lives and is not frozen.
func (world *World) every(host *Host, incarnation int, length time.Duration, do func()) {
	world.After(time.Duration(world.random.Int63n(int64(length))),
		func() { world.again(host, incarnation, length, do) })
}

func (world *World) again(host *Host, incarnation int, length time.Duration, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		world.on(host, incarnation, do)
	}
	world.After(length, func() { world.again(host, incarnation, length, do) })
}
