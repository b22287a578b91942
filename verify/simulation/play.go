package simulation

import (
	"fmt"
	"strings"
	"time"
)

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
	scheduleFaults(world, time.Minute, names, atOnce)
	world.Run(time.Minute + time.Millisecond)
	operators.Stop()
	if len(world.Check.Violations) > 0 {
		return world
	}
	world.recovery.requireService()
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
