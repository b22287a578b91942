package simulation

import "time"

// delistingDelay is how long the platform takes to take a dead runner off its list.
const delistingDelay = 1500 * time.Millisecond

// perConnection is for how long a fault goes on that shows on each connection by itself, at any time: longer than any
// fault lasts.
const perConnection = 10 * time.Second

// unresponsive is the impact of a fault of which nobody says anything and that ends no process.
var unresponsive = impact{knowable: unresponsiveBound}

// runnerFaults are the kinds of fault of runners.
var runnerFaults = map[string]Fault{
	"runner killed":           killRunner,
	"runner dark":             onRunner(unresponsive, delisted(powerOff)),
	"runner frozen":           onRunner(unresponsive, freezeProcess),
	"runner deaf":             onRunner(unresponsive, cutFromDaemons),
	"runner unheard":          onRunner(unresponsive, cutToDaemons),
	"runner cut and delisted": cutAndDelistRunner,
	"runner mute":             misbehave(unresponsive, func(wrong *misbehavior, on bool) { wrong.unresponsive = on }),
	"runner partial":          misbehave(impact{}, func(wrong *misbehavior, on bool) { wrong.partial = on }),
	"runner fails":            misbehave(impact{}, func(wrong *misbehavior, on bool) { wrong.fails = on }),
	"runner slow":             misbehave(unresponsive, (*misbehavior).setSlow),
	"runner late":             misbehave(unresponsive, (*misbehavior).setLate),
	"runner garbles":          garbleRunner,
	"runner gives surplus answers": misbehave(impact{knowable: perConnection},
		func(wrong *misbehavior, on bool) { wrong.surplus = on }),
	"all put back":   rejectEverywhere,
	"pool killed":    killAllRunners,
	"runner drained": drainRunner,
	"address taken":  takeAddress,
}

// misbehave changes a runner's nature for a while.
func misbehave(impact impact, change func(wrong *misbehavior, on bool)) Fault {
	return onRunner(impact, func(_ *World, host *Host) func() {
		wrong := &host.runner.engine.misbehavior
		change(wrong, true)
		return func() { change(wrong, false) }
	})
}

// delisted does a fault to a runner, which the platform takes off its list a while later if it is still down.
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

// cutFromDaemons has a runner receive nothing from the daemons.
func cutFromDaemons(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Datas(), false)
	return world.topology.Heal
}

// cutToDaemons has no daemon receive anything from a runner.
func cutToDaemons(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Datas(), true)
	return world.topology.Heal
}

// cutAndDelistRunner cuts a runner off from the daemons; the platform takes it off its list a while later.
func cutAndDelistRunner(world *World) func() {
	host := world.injector.runner()
	incarnation, end := host.incarnation, world.injector.record(unresponsive, host)
	world.topology.CutOff([]*Host{host}, world.Datas())
	world.Platform.delistAfterwards(host, incarnation)
	return func() {
		end()
		world.topology.Heal()
		world.Platform.relist(host, incarnation)
	}
}

// garbleRunner has a runner tell the third event of each stream wrongly, in one of the ways that there are.
func garbleRunner(world *World) func() {
	return onRunner(impact{}, func(world *World, host *Host) func() {
		engine := host.runner.engine
		engine.garble = garblings[world.random.Intn(len(garblings))]
		return func() { engine.garble = "" }
	})(world)
}

// rejectEverywhere has all runners reject every request.
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

// drainRunner has the platform list a runner as draining; the undoing restarts it.
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

// takeAddress has a runner of another service start at a runner's address; the undoing gives the address back.
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
