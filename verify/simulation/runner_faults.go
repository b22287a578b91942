package simulation

import "time"

// delistingDelay is the time until the platform removes a dead runner from its list.
const delistingDelay = 1500 * time.Millisecond

// perConnection is the detection time of a fault that shows on each connection separately, at any time: longer than any
// fault lasts.
const perConnection = 10 * time.Second

// unresponsive is the impact of a fault that nobody reports and that ends no process.
var unresponsive = impact{detectableAfter: unresponsiveBound}

// runnerFaults are the kinds of fault of runners.
var runnerFaults = map[string]Fault{
	"runner killed":           killRunner,
	"runner dark":             onRunner(unresponsive, delisted(powerOff)),
	"runner frozen":           onRunner(unresponsive, freezeProcess),
	"runner deaf":             onRunner(unresponsive, cutFromDaemons),
	"runner unheard":          onRunner(unresponsive, cutToDaemons),
	"runner cut and delisted": cutAndDelistRunner,
	"runner mute": withFaultyBehavior(unresponsive,
		func(behavior *faultyBehavior, on bool) { behavior.unresponsive = on }),
	"runner partial": withFaultyBehavior(impact{},
		func(behavior *faultyBehavior, on bool) { behavior.partial = on }),
	"runner fails": withFaultyBehavior(impact{},
		func(behavior *faultyBehavior, on bool) { behavior.fails = on }),
	"runner slow":    withFaultyBehavior(unresponsive, (*faultyBehavior).setSlow),
	"runner late":    withFaultyBehavior(unresponsive, (*faultyBehavior).setLate),
	"runner garbles": corruptRunnerEvents,
	"runner gives surplus answers": withFaultyBehavior(impact{detectableAfter: perConnection},
		func(behavior *faultyBehavior, on bool) { behavior.surplus = on }),
	"all put back":   rejectEverywhere,
	"pool killed":    killAllRunners,
	"runner drained": drainRunner,
	"address taken":  takeAddress,
}

// withFaultyBehavior changes a runner's behavior until the fault is undone.
func withFaultyBehavior(impact impact, change func(behavior *faultyBehavior, on bool)) Fault {
	return onRunner(impact, func(_ *World, host *Host) func() {
		behavior := &host.runner.engine.faultyBehavior
		change(behavior, true)
		return func() { change(behavior, false) }
	})
}

// delisted applies a fault to a runner, which the platform removes from its list after delistingDelay if it is still
// down.
func delisted(fault hostFault) hostFault {
	return func(world *World, host *Host) func() {
		undo := fault(world, host)
		world.Platform.delist(host)
		return undo
	}
}

func killRunner(world *World) func() {
	return onRunner(impact{}, delisted(killProcess))(world)
}

// cutFromDaemons stops all messages from the daemons to a runner.
func cutFromDaemons(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Daemons(), false)
	return world.topology.Heal
}

// cutToDaemons stops all messages from a runner to the daemons.
func cutToDaemons(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Daemons(), true)
	return world.topology.Heal
}

// cutAndDelistRunner cuts a runner off from the daemons; the platform removes it from its list after delistingDelay.
func cutAndDelistRunner(world *World) func() {
	host := world.injector.runner()
	incarnation, end := host.incarnation, world.injector.record(unresponsive, host)
	world.topology.CutOff([]*Host{host}, world.Daemons())
	world.Platform.delistAfterwards(host, incarnation)
	return func() {
		end()
		world.topology.Heal()
		world.Platform.relist(host, incarnation)
	}
}

// corruptRunnerEvents makes a runner corrupt the third event of each stream, in a random way.
func corruptRunnerEvents(world *World) func() {
	return onRunner(impact{}, func(world *World, host *Host) func() {
		engine := host.runner.engine
		engine.corruption = eventCorruptions[world.random.Intn(len(eventCorruptions))]
		return func() { engine.corruption = "" }
	})(world)
}

// rejectEverywhere makes all runners reject every request.
func rejectEverywhere(world *World) func() {
	end := world.injector.record(impact{}, world.Runners()...)
	setRejects(world.Runners(), true)
	return func() {
		setRejects(world.Runners(), false)
		end()
	}
}

func setRejects(hosts []*Host, rejects bool) {
	for _, host := range hosts {
		host.runner.engine.rejects = rejects
	}
}

func killAllRunners(world *World) func() {
	end := world.injector.record(impact{}, world.Runners()...)
	for _, host := range world.Runners() {
		host.Kill()
		world.Platform.delist(host)
	}
	return func() {
		boot(world.Runners())
		end()
	}
}

// drainRunner lists a runner as draining; undoing it restarts the runner.
func drainRunner(world *World) func() {
	host := world.injector.runner()
	incarnation := host.incarnation
	world.Platform.set(host, "draining")
	return func() {
		if host.incarnation != incarnation {
			return
		}
		end := world.injector.record(impact{}, host)
		host.Kill()
		host.Boot()
		end()
	}
}

// takeAddress starts a runner of another service at a runner's address; undoing it starts the former service there
// again.
func takeAddress(world *World) func() {
	host := world.injector.runner()
	end := world.injector.record(impact{}, host)
	host.Kill()
	host.runner.otherService = "a-stranger"
	incarnation := host.incarnation + 1
	host.Boot()
	world.Platform.delistAfterwards(host, incarnation)
	return func() {
		host.runner.otherService = ""
		host.Kill()
		host.Boot()
		end()
	}
}
