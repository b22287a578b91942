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

// drainTime is how long a daemon told to stop goes on taking requests.
const drainTime = 2 * time.Second

// daemonProcess is the data daemon of one host, with the clients that it has.
type daemonProcess struct {
	host *Host
	// controller and plane are those of the present process; nil: none runs.
	controller *controller.Controller
	plane      *dataplane.Plane
	// clients are those whose requests have no answer yet.
	clients []*client
	// leasedUntil is up to when the daemon was last seen to be sure of its spec, by its own clock; leasedSince is since
	// when it has been so without a break.
	leasedUntil, leasedSince time.Time
}

// boot starts a data daemon as its process would.
func (daemon *daemonProcess) boot() {
	host, world := daemon.host, daemon.host.world
	made, err := dataplane.New(daemon.environment(), daemon.settings())
	if err != nil {
		panic(err)
	}
	daemon.plane = made
	made.WithController(func(machine *controller.Controller) { daemon.controller = machine })
	if world.Traffic != nil {
		host.every(host.incarnation, dataplane.RebalanceInterval, made.Rebalance)
		host.every(host.incarnation, dataplane.ProbeInterval, made.ProbeStale)
		host.every(host.incarnation, dataplane.UnresponsiveProbeInterval, made.ProbeUnresponsive)
		host.every(host.incarnation, dataplane.IndexAgingInterval, made.AgeIndex)
	}
	host.repeat(host.incarnation, tickEvery, func() {
		daemon.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
	})
}

// environment is the daemon's clock, coroutines and network.
func (daemon *daemonProcess) environment() netio.Environment {
	host, world := daemon.host, daemon.host.world
	return netio.Environment{
		Now:  host.local,
		Go:   func(work func()) { world.coroutines.spawn(host, work) },
		Wait: world.coroutines.wait,
		Dial: func(ctx context.Context, address string, terms netio.Timeouts) (netio.Conn, error) {
			return world.network.dial(ctx, host, address, terms)
		},
	}
}

// settings are those of the present process.
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
			Registered: world.RegisteringRunners != nil, WithoutCore: world.WithoutCore},
		Random: random,
		Await:  world.coroutines.await,
		Send:   func(outbox []statemachine.Message) { world.network.send(host, outbox) },
		Poll:   func() { world.Platform.poll(host, incarnation) },
		Log:    discardLog,
	}
}

// afterStep wakes the coroutines for which the step has changed something.
func (daemon *daemonProcess) afterStep() {
	daemon.recordLease()
	daemon.host.world.coroutines.stir(daemon.host)
	daemon.host.world.Check.step(daemon.host)
}

// recordLease notes since when the daemon has been sure of its spec.
func (daemon *daemonProcess) recordLease() {
	if daemon.plane == nil {
		return
	}
	if local := daemon.host.local(); !local.Before(daemon.leasedUntil) {
		daemon.leasedSince = daemon.host.world.Now
	}
	daemon.leasedUntil = daemon.plane.Snapshot().Until
}

// holdsLease reports whether a running daemon is sure of its spec now.
func (daemon *daemonProcess) holdsLease() bool {
	local := daemon.host.local()
	return local.Before(daemon.controller.Until(local))
}

// receive hands a message to the controller.
func (daemon *daemonProcess) receive(envelope *wire.Envelope) {
	daemon.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Receive(now, envelope) })
}

// connectionRefused tells the controller that nobody listens at an address.
func (daemon *daemonProcess) connectionRefused(address string, tried time.Time) {
	daemon.plane.Step(func(now time.Time, machine *controller.Controller) { machine.OnRefused(now, address, tried) })
}

// end has the clients see the end of their daemon.
func (daemon *daemonProcess) end() {
	clients := daemon.clients
	daemon.clients = nil
	for _, client := range clients {
		client.loseDaemon()
	}
	daemon.controller, daemon.plane = nil, nil
}

// removeClient forgets a client whose request has ended.
func (daemon *daemonProcess) removeClient(gone *client) {
	for index, other := range daemon.clients {
		if other == gone {
			daemon.clients = append(daemon.clients[:index], daemon.clients[index+1:]...)
			return
		}
	}
}

// drainAndRestart restarts the daemon as planned: it fails its readiness, finishes all that it has read, ends and is
// started again.
func (daemon *daemonProcess) drainAndRestart() {
	host := daemon.host
	if !host.up || host.frozen {
		return
	}
	incarnation := host.incarnation
	host.on(incarnation, daemon.plane.Drain)
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
	local := daemon.host.local()
	snapshot := daemon.controller.Snapshot(local)
	fmt.Fprintf(text, "  %s serves %v, sequence %d, epoch %d, view %d\n", daemon.host.Address,
		local.Before(snapshot.Until), snapshot.Sequence, snapshot.SpecEpoch, daemon.controller.View().GetEpoch())
}
