package simulation

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
	"wardtray/proxy/codec"
	"wardtray/transport/netio"
	"wardtray/wire"
)

// drainTime is the time for which a daemon that shuts down still accepts requests.
const drainTime = 2 * time.Second

// daemonProcess is the data daemon of one host, with its clients.
type daemonProcess struct {
	host *Host
	// controller and plane belong to the running process; nil: none runs.
	controller *controller.Controller
	plane      *dataplane.Plane
	// clients are those whose requests are not answered yet.
	clients []*client
	// leasedUntil is the end of the daemon's lease as last seen, by its own clock; leasedSince is the time since when it
	// has held a lease without interruption.
	leasedUntil, leasedSince time.Time
}

// boot starts a data daemon as its process does.
func (daemon *daemonProcess) boot() {
	host, world := daemon.host, daemon.host.world
	plane, err := dataplane.New(daemon.environment(), daemon.settings())
	if err != nil {
		panic(err)
	}
	daemon.plane = plane
	plane.WithController(func(machine *controller.Controller) { daemon.controller = machine })
	if world.Traffic != nil {
		host.startRepeating(host.incarnation, dataplane.RebalanceInterval, plane.Rebalance)
		host.startRepeating(host.incarnation, dataplane.ProbeInterval, plane.ProbeStale)
		host.startRepeating(host.incarnation, dataplane.UnresponsiveProbeInterval, plane.ProbeUnresponsive)
		host.startRepeating(host.incarnation, dataplane.IndexAgingInterval, plane.AgeIndex)
	}
	host.repeat(host.incarnation, tickInterval, func() {
		daemon.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
	})
}

// environment returns the daemon's clock, coroutines and network.
func (daemon *daemonProcess) environment() netio.Environment {
	host, world := daemon.host, daemon.host.world
	return netio.Environment{
		Now:  host.localTime,
		Go:   func(work func()) { world.coroutines.spawn(host, work) },
		Wait: world.coroutines.wait,
		Dial: func(ctx context.Context, address string, timeouts netio.Timeouts) (netio.Conn, error) {
			return world.network.dial(ctx, host, address, timeouts)
		},
	}
}

// settings returns the settings for a new process.
func (daemon *daemonProcess) settings() dataplane.Settings {
	host, world := daemon.host, daemon.host.world
	incarnation, random := host.incarnation, rand.New(rand.NewSource(world.random.Int63()))
	var protocol codec.Codec
	if world.announcesOnly {
		protocol = announcingCodec{}
	}
	return dataplane.Settings{
		Codec: protocol,
		Settings: controller.Settings{Address: host.Address, HTTP: host.Address, Zone: host.Zone, Seeds: host.seeds,
			Registered: world.RegisteringRunners != nil, IsolationLimit: world.IsolationLimit},
		Random: random,
		Await:  world.coroutines.await,
		Send:   func(outbox []statemachine.Message) { world.network.send(host, outbox) },
		Poll:   func() { world.Platform.poll(host, incarnation) },
		Log:    discardLog,
	}
}

// afterStep wakes the coroutines whose conditions the step has made true, and checks the daemon.
func (daemon *daemonProcess) afterStep() {
	daemon.recordLease()
	daemon.host.world.coroutines.wakeReady(daemon.host)
	daemon.host.world.Check.step(daemon.host)
}

// recordLease updates the period for which the daemon has held its lease.
func (daemon *daemonProcess) recordLease() {
	if daemon.plane == nil {
		return
	}
	if local := daemon.host.localTime(); !local.Before(daemon.leasedUntil) {
		daemon.leasedSince = daemon.host.world.Now
	}
	daemon.leasedUntil = daemon.plane.Snapshot().ExpiresAt
}

// holdsLease reports whether a running daemon holds a lease on its configuration.
func (daemon *daemonProcess) holdsLease() bool {
	local := daemon.host.localTime()
	return local.Before(daemon.controller.Until(local))
}

// receive passes a message to the controller.
func (daemon *daemonProcess) receive(envelope *wire.Envelope) {
	daemon.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Receive(now, envelope) })
}

// connectionRefused notifies the controller that an address refused a connection.
func (daemon *daemonProcess) connectionRefused(address string, tried time.Time) {
	daemon.plane.Step(func(now time.Time, machine *controller.Controller) {
		machine.OnConnectionRefused(now, address, tried)
	})
}

// end notifies the clients that their daemon has ended.
func (daemon *daemonProcess) end() {
	clients := daemon.clients
	daemon.clients = nil
	for _, client := range clients {
		client.onDaemonLost()
	}
	daemon.controller, daemon.plane = nil, nil
}

// removeClient removes a client whose request has ended.
func (daemon *daemonProcess) removeClient(gone *client) {
	for index, other := range daemon.clients {
		if other == gone {
			daemon.clients = append(daemon.clients[:index], daemon.clients[index+1:]...)
			return
		}
	}
}

// drainAndRestart performs a planned restart: the daemon fails its readiness check, finishes all requests that it has
// read, ends and is started again.
func (daemon *daemonProcess) drainAndRestart() {
	host := daemon.host
	if !host.up || host.frozen {
		return
	}
	incarnation := host.incarnation
	host.runInProcess(incarnation, daemon.plane.Drain)
	var poll func()
	poll = func() {
		if host.incarnation != incarnation || !host.up {
			return
		}
		if host.frozen || !daemon.plane.Drained(drainTime) {
			host.world.After(shutdownPollInterval, poll)
			return
		}
		host.Kill()
		host.Boot()
	}
	poll()
}

// describe writes the controller's state.
func (daemon *daemonProcess) describe(text *strings.Builder) {
	local := daemon.host.localTime()
	snapshot := daemon.controller.Snapshot(local)
	fmt.Fprintf(text, "  %s serves %v, sequence %d, epoch %d, view %d\n", daemon.host.Address,
		local.Before(snapshot.ExpiresAt), snapshot.Sequence, snapshot.SpecEpoch, daemon.controller.View().GetEpoch())
}
