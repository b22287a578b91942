package simulation

import "time"

const (
	// partitionLength is the time for which a control machine is cut off in PartitionScenarios.
	partitionLength = 20 * time.Second
	// shortIsolationLimit is an isolation limit of the data daemons that expires within a partition.
	shortIsolationLimit = 6 * time.Second
)

// PartitionScenarios are network partitions of each shape, with conflicting changes and reads sent to machines on both
// sides.
var PartitionScenarios = map[string]ControlScenario{
	"leader off":                              partitionScenario(cutHead(cutOff)),
	"leader off from the core":                partitionScenario(cutHead(cutOffFromCores)),
	"leader off, back at the worst moment":    partitionScenario(cutHeadRepeatedly),
	"leader off and killed before it is back": partitionScenario(cutAndKillHead),
	"leader unheard":                          partitionScenario(cutHead(mute)),
	"leader deaf":                             partitionScenario(cutHead(deafen)),
	"one link, one way":                       partitionScenario(cutLinkOfHeadOneWay),
	"both halves":                             partitionScenario(cutHalves),
	"both halves, one way":                    partitionScenario(cutHalvesOneWay),
	"leader off by resets":                    partitionScenario(cutHeadAndResetConnections),
	"seeds on the wrong side":                 partitionScenario(cutHeadNamedByAllSeeds),
}

// IsolationScenarios cut data daemons off from all control machines, with isolation limits that expire within the
// partition, that exceed it, or that are zero.
var IsolationScenarios = map[string]ControlScenario{
	"not at all":    isolationScenario(-1),
	"for a while":   isolationScenario(shortIsolationLimit),
	"for very long": isolationScenario(5 * time.Minute),
}

// partitionScenario applies a cut for partitionLength and continues the conflicting changes for a few seconds after it.
func partitionScenario(cut func(world *World)) ControlScenario {
	return ControlScenario{
		Length:        partitionLength + 4*time.Second,
		ConflictEvery: 500 * time.Millisecond,
		LostAnswers:   0.2,
		begin: func(world *World) {
			cut(world)
			world.After(partitionLength, world.topology.Heal)
		},
	}
}

// cutHead applies a cut to the head of the chain.
func cutHead(cut hostFault) func(world *World) {
	return func(world *World) { cut(world, world.injector.head()) }
}

// cutOffFromCores cuts a control machine off from the others; the data daemons reach it.
func cutOffFromCores(world *World, host *Host) func() {
	world.topology.CutOff([]*Host{host}, without(world.Cores(), host))
	return world.topology.Heal
}

// cutHeadRepeatedly cuts the head off from the other control machines again and again, until three seconds before the
// end. The head is often reachable again at about the time when its successor begins to act.
func cutHeadRepeatedly(world *World) {
	const longestCut, longestReturn = 3 * time.Second, time.Second
	head, last := world.injector.head(), world.Now.Add(partitionLength-longestCut)
	var flap func()
	flap = func() {
		if !world.Now.Before(last) {
			return
		}
		heal := cutOffFromCores(world, head)
		world.After(time.Duration(world.random.Int63n(int64(longestCut))), func() {
			heal()
			world.After(time.Duration(world.random.Int63n(int64(longestReturn))), flap)
		})
	}
	flap()
}

// cutAndKillHead cuts the head off and restarts it around the end of the cut.
func cutAndKillHead(world *World) {
	head := world.injector.head()
	cutOff(world, head)
	world.After(partitionLength-time.Second, func() {
		head.Kill()
		world.After(1500*time.Millisecond, head.Boot)
	})
}

// cutLinkOfHeadOneWay cuts one direction, drawn at random, of the link between the head and another core.
func cutLinkOfHeadOneWay(world *World) {
	head := world.injector.head()
	other := world.pick(without(world.Cores(), head))
	pair := []*Host{head, other}
	from := world.random.Intn(2)
	world.topology.Cut(pair[from], pair[1-from])
}

func cutHalves(world *World) {
	left, right := world.injector.halves()
	world.topology.CutOff(left, right)
}

// cutHalvesOneWay stops messages from one half of the zones to the other.
func cutHalvesOneWay(world *World) {
	left, right := world.injector.halves()
	for _, one := range left {
		for _, other := range right {
			world.topology.Cut(one, other)
		}
	}
}

// cutHeadAndResetConnections cuts the head off and drops all messages in flight to or from it, until a second after the
// cut.
func cutHeadAndResetConnections(world *World) {
	const resetEvery = 300 * time.Millisecond
	head, end := world.injector.head(), world.Now.Add(partitionLength+time.Second)
	cutOff(world, head)
	var reset func()
	reset = func() {
		head.resetConnections()
		if world.Now.Before(end) {
			world.After(resetEvery, reset)
		}
	}
	reset()
}

// cutHeadNamedByAllSeeds cuts the head off and restarts all other processes with the head as their only seed.
func cutHeadNamedByAllSeeds(world *World) {
	head := world.injector.head()
	cutOff(world, head)
	for _, host := range world.Hosts {
		host.seeds = []string{head.Address}
	}
	world.injector.restart(without(world.Cores(), head))
	world.After(5*time.Second, func() { world.injector.restart(world.Daemons()) })
}

// isolationScenario cuts a third of the daemons off from the control machines under an isolation limit. They are cut
// off from the other daemons too, or they would learn of changes by gossip.
func isolationScenario(setting time.Duration) ControlScenario {
	scenario := partitionScenario(func(world *World) {
		daemons := world.Daemons()
		lost, rest := daemons[:len(daemons)/3], append(world.Cores(), daemons[len(daemons)/3:]...)
		world.topology.CutOff(lost, rest)
	})
	scenario.IsolationLimit = setting
	return scenario
}
