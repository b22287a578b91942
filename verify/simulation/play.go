package simulation

import (
	"fmt"
	"strings"
	"time"

	"wardtray/verify/histories"
	"wardtray/wire"
)

const (
	returnBound = histories.ReturnBound
	repairBound = 15 * time.Second
	// scrubAllowance is how long damage on a disk may go unfound: until the next sweep, and a while to mend it.
	scrubAllowance = 6 * time.Second
)

// head returns the machine that leads, or any if none does.
func (world *World) head() *Host {
	for _, host := range world.Cores() {
		if host.up && !host.frozen && host.node.IsLeading(host.local()) {
			return host
		}
	}
	return world.pick(world.Cores())
}

// redundant reports whether every core is in the chain and the acceptors are live and complete.
func (world *World) redundant() bool {
	if world.Now.Before(world.unscrubbedUntil) {
		return false
	}
	for _, host := range world.Cores() {
		if !host.up || host.frozen {
			return false
		}
		status := host.node.Status(host.local())
		index, view := status.Position, host.node.View()
		if index != "outside" && status.Pending > 2 ||
			len(view.Chain) > 0 && view.Chain[0].Id == status.ID && !status.HoldsLease {
			return false
		}
		if len(status.Warnings) > 0 && world.hasSpareDisks() ||
			len(view.Chain) != min(len(world.Cores()), host.node.ChainLimit()) ||
			view.Epoch != world.newestView().Epoch {
			return false
		}
	}
	return true
}

// hasSpareDisks reports whether there are disks and zones enough for everything that the status page wants; where there
// are not, its warnings stay.
func (world *World) hasSpareDisks() bool {
	zones := map[string]bool{}
	for _, host := range world.Cores() {
		zones[host.Zone] = true
	}
	return len(world.Cores()) > 2*world.Faults && len(zones) > 2
}

// newestView returns the newest view that any machine knows.
func (world *World) newestView() *wire.View {
	newest := &wire.View{}
	for _, host := range world.Cores() {
		if host.node != nil && host.node.View().Epoch > newest.Epoch {
			newest = host.node.View()
		}
	}
	return newest
}

// Recovered reports whether, within a bound, a change is acknowledged and every daemon serves under it.
func (world *World) Recovered(bound time.Duration) (time.Duration, bool) {
	started := world.Now
	operators := newOperators(world, 1_000_000)
	var order *Order
	for world.Now.Sub(started) < bound && len(world.Check.Violations) == 0 {
		if order == nil || order.Outcome == "refused" ||
			order.Outcome == "unknown" && world.Now.Sub(order.Sent) > 2*time.Second {
			operators.base = world.Check.greatestKnown()
			order = operators.apply(world.pick(world.Cores()))
		}
		world.Run(100 * time.Millisecond)
		if order.Outcome == "accepted" && world.allServe(order.Epoch) {
			return world.Now.Sub(started), true
		}
	}
	return bound, false
}

func (world *World) allServe(epoch uint64) bool {
	for _, host := range world.Datas() {
		local := host.local()
		if !host.up || !local.Before(host.controller.Until(local)) ||
			host.controller.Snapshot(local).SpecEpoch < epoch {
			return false
		}
	}
	return true
}

// Play founds a deployment, does harm to it for a minute, and sees whether it recovers. Beyond what
// a deployment must bear, with several faults at once, the rules still hold; only service may rest.
func Play(seed int64, shape Shape, names []string, atOnce int) *World {
	return PlayEvery(seed, shape, names, atOnce, 700*time.Millisecond)
}

// PlayEvery is Play with operators that send about so often; often enough makes a storm.
func PlayEvery(seed int64, shape Shape, names []string, atOnce int, every time.Duration) *World {
	world := Found(seed, shape)
	world.Run(8 * time.Second)
	operators := world.StartOperators(every)
	world.Schedule(time.Minute, names, atOnce)
	world.Run(time.Minute + time.Millisecond)
	operators.Stop()
	if len(world.Check.Violations) > 0 {
		return world
	}
	took, fine := world.Recovered(returnBound)
	world.Check.recordWorst("service after the last fault", took)
	if !fine && len(world.Check.Violations) == 0 {
		world.Check.violation("not recovered %v after the last fault\n%s", returnBound, world.Describe())
	}
	return world
}

// Describe reports the state of each machine, for whoever looks for the cause of a failure.
func (world *World) Describe() string {
	text := &strings.Builder{}
	for _, entry := range world.Log[max(0, len(world.Log)-8):] {
		fmt.Fprintf(text, "  %s\n", entry)
	}
	for _, host := range world.Hosts {
		if host.engine == nil && !host.removed {
			host.describe(text)
		}
	}
	return text.String()
}

// describe writes the state of the host.
func (host *Host) describe(text *strings.Builder) {
	if !host.up {
		fmt.Fprintf(text, "  %s is down\n", host.Address)
		return
	}
	local := host.local()
	if !host.Core {
		snapshot := host.controller.Snapshot(local)
		fmt.Fprintf(text, "  %s serves %v, sequence %d, epoch %d, view %d\n", host.Address,
			local.Before(snapshot.Until), snapshot.Sequence, snapshot.SpecEpoch, host.controller.View().GetEpoch())
		return
	}
	status := host.node.Status(local)
	fmt.Fprintf(text, "  %s %s %s, view %d, leading %v, claim %v, sick %v, synced %d, committed %d, pending %d, ",
		host.Address, status.ID, status.Position, status.View, status.IsLeading, status.HoldsLease, status.Unhealthy,
		status.Synced, status.Committed, status.Pending)
	fmt.Fprintf(text, "learned in %d, frozen %v, stalled %v\n",
		host.node.Chain().LearnedView(), host.frozen, host.stalled)
	for _, member := range status.Chain {
		fmt.Fprintf(text, "    chain  %s %s heard %v\n", member.ID, member.Address, member.IsAlive)
	}
	for _, member := range status.Acceptors {
		fmt.Fprintf(text, "    keeper %s %s heard %v\n", member.ID, member.Address, member.IsAlive)
	}
}
