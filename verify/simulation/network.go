package simulation

import (
	"hash/fnv"
	"reflect"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// network delivers messages between hosts: each arrives after a random delay, unless it is lost or its link is cut.
type network struct {
	world *World
	// lastSent holds the time at which one host last sent to another over a connection, which stays open for
	// idleConnectionLifetime.
	lastSent map[link]time.Time
	// Loss is the fraction of all messages that are lost.
	Loss float64
	// Delay is the shortest time that a message takes, Jitter the longest random addition to it.
	Delay  time.Duration
	Jitter time.Duration
	// Messages, Bytes and CrossZoneBytes count the messages and bytes sent, for measurements.
	Messages, Bytes, CrossZoneBytes uint64
	// Metrics, if set, is called for every message.
	Metrics func(from, to *Host, kind string, size int)
}

const (
	defaultDelay  = time.Millisecond
	defaultJitter = 4 * time.Millisecond
)

func newNetwork(world *World) *network {
	return &network{world: world, lastSent: map[link]time.Time{}, Delay: defaultDelay, Jitter: defaultJitter}
}

// send sends the messages of a host's outbox.
func (network *network) send(host *Host, outbox []statemachine.Message) {
	world := network.world
	for _, outgoing := range outbox {
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(outgoing.Envelope)
		if err != nil {
			panic(err)
		}
		network.Messages++
		network.Bytes += uint64(len(content))
		host.Sent += uint64(len(content))
		target := world.byName[outgoing.To]
		network.countMessage(host, target, outgoing.Envelope, len(content))
		if target != nil && target.Zone != host.Zone {
			network.CrossZoneBytes += uint64(len(content))
		}
		hash := fnv.New64a()
		_, _ = hash.Write(content)
		world.addToTrace(hash.Sum64())
		if target == nil || world.random.Float64() < network.Loss {
			continue
		}
		from, tried, sent := host, host.localTime(), world.Now
		network.lastSent[link{host.Address, outgoing.To}] = world.Now
		world.After(network.lag()+target.processingDelay, func() {
			if !sent.After(from.resetAt) || !sent.After(target.resetAt) {
				return
			}
			network.deliver(from, target, content)
			network.refuseConnection(from, target, tried)
		})
	}
}

// lag draws the time that a message takes.
func (network *network) lag() time.Duration {
	return network.Delay + time.Duration(network.world.random.Int63n(int64(network.Jitter)+1))
}

// refuseConnection notifies a sender that its connection was refused, if the target's machine runs without the process
// and there is a path both ways.
func (network *network) refuseConnection(from, to *Host, tried time.Time) {
	world := network.world
	if to.up || to.poweredOff || to.runner != nil || world.topology.disconnected(from, to) {
		return
	}
	incarnation := from.incarnation
	world.After(network.lag(), func() {
		if world.topology.disconnected(from, to) {
			return
		}
		from.runInProcess(incarnation, func() { from.process.connectionRefused(to.Address, tried) })
	})
}

// idleConnectionLifetime is the time for which an idle connection is kept open.
const idleConnectionLifetime = time.Minute

// closeConnections closes the connections of a process that has ended, as its machine's network stack does. Each peer
// with an open connection reconnects at once and is refused.
func (network *network) closeConnections(host *Host) {
	world := network.world
	for _, other := range world.Hosts {
		sent, linked := network.lastSent[link{other.Address, host.Address}]
		if !linked || !other.up || other == host || world.Now.Sub(sent) > idleConnectionLifetime {
			continue
		}
		from, incarnation := other, other.incarnation
		world.After(network.lag(), func() {
			if from.incarnation == incarnation && !world.topology.disconnected(from, host) {
				tried := from.localTime()
				world.After(network.lag(), func() { network.refuseConnection(from, host, tried) })
			}
		})
	}
}

// deliver passes a message to its target's process, if that runs and can be reached.
func (network *network) deliver(from, to *Host, content []byte) {
	// The socket buffers of a frozen process's machine are bounded.
	if network.world.topology.isCut(from, to) || !to.up || to.isBacklogFull() {
		return
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal(content, envelope); err != nil {
		panic(err)
	}
	to.runInProcess(to.incarnation, func() { to.process.receive(envelope) })
}

// countMessage reports a message to Metrics.
func (network *network) countMessage(from, to *Host, envelope *wire.Envelope, size int) {
	if network.Metrics != nil {
		network.Metrics(from, to, strings.TrimPrefix(reflect.TypeOf(envelope.Body).Elem().Name(), "Envelope_"), size)
	}
}
