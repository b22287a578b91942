package simulation

import (
	"hash/fnv"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/dataplane/controller"
	"wardtray/wire"
)

func (world *World) send(host *Host, outbox []statemachine.Message) {
	for _, outgoing := range outbox {
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(outgoing.Envelope)
		if err != nil {
			panic(err)
		}
		world.Messages++
		world.Bytes += uint64(len(content))
		host.Sent += uint64(len(content))
		target := world.byName[outgoing.To]
		world.countMessage(host, target, outgoing.Envelope, len(content))
		if target != nil && target.Zone != host.Zone {
			world.CrossZoneBytes += uint64(len(content))
		}
		hash := fnv.New64a()
		_, _ = hash.Write(content)
		world.addToTrace(hash.Sum64())
		if target == nil || world.random.Float64() < world.Loss {
			continue
		}
		from, tried, sent := host, world.local(host), world.Now
		world.links[[2]string{host.Address, outgoing.To}] = world.Now
		world.After(world.lag()+target.processingDelay, func() {
			if !sent.After(from.resetAt) || !sent.After(target.resetAt) {
				return
			}
			world.deliver(from, target, content)
			world.refuseConnection(from, target, tried)
		})
	}
}

func (world *World) lag() time.Duration {
	return world.Delay + time.Duration(world.random.Int63n(int64(world.Jitter)+1))
}

// refuseConnection tells a sender that nobody listened where its message came to, if the machine there is alive to say
// so.
func (world *World) refuseConnection(from, to *Host, tried time.Time) {
	if to.up || to.poweredOff || to.engine != nil || world.disconnected(from, to) {
		return
	}
	incarnation := from.incarnation
	world.After(world.lag(), func() {
		if world.disconnected(from, to) {
			return
		}
		world.on(from, incarnation, func() {
			if from.Core {
				from.node.ConnectionRefused(world.local(from), to.Address, tried)
				return
			}
			from.plane.Step(
				func(now time.Time, machine *controller.Controller) { machine.OnRefused(now, to.Address, tried) },
			)
		})
	})
}

func (world *World) disconnected(one, other *Host) bool {
	return world.cuts[[2]string{one.Address, other.Address}] || world.cuts[[2]string{other.Address, one.Address}]
}

// connectionLasts is how long an idle connection is kept.
const connectionLasts = time.Minute

// closeConnections has the system of a machine whose process ended close its connections; whoever had one tries again
// at once.
func (world *World) closeConnections(host *Host) {
	for _, other := range world.Hosts {
		sent, linked := world.links[[2]string{other.Address, host.Address}]
		if !linked || !other.up || other == host || world.Now.Sub(sent) > connectionLasts {
			continue
		}
		from, incarnation := other, other.incarnation
		world.After(world.lag(), func() {
			if from.incarnation == incarnation && !world.disconnected(from, host) {
				tried := world.local(from)
				world.After(world.lag(), func() { world.refuseConnection(from, host, tried) })
			}
		})
	}
}

func (world *World) deliver(from, to *Host, content []byte) {
	// A frozen machine's sockets hold only so much.
	if world.cuts[[2]string{from.Address, to.Address}] || !to.up || to.frozen && len(to.backlog) >= backlogLimit {
		return
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal(content, envelope); err != nil {
		panic(err)
	}
	world.on(to, to.incarnation, func() {
		if to.Core {
			to.node.Receive(world.local(to), envelope)
			return
		}
		to.plane.Step(func(now time.Time, machine *controller.Controller) { machine.Receive(now, envelope) })
	})
}

// Cut stops messages from one host to another; Heal ends all cuts.
func (world *World) Cut(from, to *Host) {
	world.cuts[[2]string{from.Address, to.Address}] = true
	world.topologyChanged()
}

// CutOff parts two groups from each other.
func (world *World) CutOff(left, right []*Host) {
	for _, one := range left {
		for _, other := range right {
			world.Cut(one, other)
			world.Cut(other, one)
		}
	}
}

// Heal ends all cuts.
func (world *World) Heal() {
	world.cuts = map[[2]string]bool{}
	world.topologyChanged()
}
