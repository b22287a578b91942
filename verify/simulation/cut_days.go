package simulation

import "time"

const (
	// cutLength is how long a control machine is cut off on the days of cuts.
	cutLength = 20 * time.Second
	// shortWithoutCore is a setting that ends within a cut.
	shortWithoutCore = 6 * time.Second
)

// CutDays are cuts of each shape, with changes, races and reads that meet them at machines on both sides.
var CutDays = map[string]ControlDay{
	"leader off":                              cutDay(ofHead(cutOff)),
	"leader off from the core":                cutDay(ofHead(cutOffFromCores)),
	"leader off, back at the worst moment":    cutDay(cutHeadAgainAndAgain),
	"leader off and killed before it is back": cutDay(cutAndKillHead),
	"leader unheard":                          cutDay(ofHead(mute)),
	"leader deaf":                             cutDay(ofHead(deafen)),
	"one link, one way":                       cutDay(cutLinkOfHeadOneWay),
	"both halves":                             cutDay(cutHalves),
	"both halves, one way":                    cutDay(cutHalvesOneWay),
	"leader off by resets":                    cutDay(cutHeadAndResetConnections),
	"seeds on the wrong side":                 cutDay(cutHeadThatAllSeedsName),
}

// WithoutCoreDays cut daemons off from every core machine under settings that end within the cut, or allow nothing.
var WithoutCoreDays = map[string]ControlDay{
	"not at all":    withoutCoreDay(-1),
	"for a while":   withoutCoreDay(shortWithoutCore),
	"for very long": withoutCoreDay(5 * time.Minute),
}

// cutDay cuts for cutLength and lets the races go on for a while after it.
func cutDay(cut func(world *World)) ControlDay {
	return ControlDay{
		Length:      cutLength + 4*time.Second,
		RaceEvery:   500 * time.Millisecond,
		LostAnswers: 0.2,
		begin: func(world *World) {
			cut(world)
			world.After(cutLength, world.topology.Heal)
		},
	}
}

// ofHead does a cut to the core that leads.
func ofHead(cut hostFault) func(world *World) {
	return func(world *World) { cut(world, world.injector.head()) }
}

// cutOffFromCores parts a core from the others; the daemons reach it.
func cutOffFromCores(world *World, host *Host) func() {
	world.topology.CutOff([]*Host{host}, without(world.Cores(), host))
	return world.topology.Heal
}

// cutHeadAgainAndAgain cuts the head off from the other cores until three seconds before the end. It comes back about
// when the next leader begins to act, and goes again.
func cutHeadAgainAndAgain(world *World) {
	const longestCut, longestReturn = 3 * time.Second, time.Second
	head, last := world.injector.head(), world.Now.Add(cutLength-longestCut)
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
	world.After(cutLength-time.Second, func() {
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

// cutHalvesOneWay has one half of the zones not be heard by the other.
func cutHalvesOneWay(world *World) {
	left, right := world.injector.halves()
	for _, one := range left {
		for _, other := range right {
			world.topology.Cut(one, other)
		}
	}
}

// cutHeadAndResetConnections cuts the head off, and has all that is on its way to or from it be lost until a second
// after the cut.
func cutHeadAndResetConnections(world *World) {
	const resetEvery = 300 * time.Millisecond
	head, end := world.injector.head(), world.Now.Add(cutLength+time.Second)
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

// cutHeadThatAllSeedsName cuts the head off and restarts all others: whoever starts now knows no core machine but the
// one that is cut off.
func cutHeadThatAllSeedsName(world *World) {
	head := world.injector.head()
	cutOff(world, head)
	for _, host := range world.Hosts {
		host.seeds = []string{head.Address}
	}
	world.injector.restart(without(world.Cores(), head))
	world.After(5*time.Second, func() { world.injector.restart(world.Datas()) })
}

// withoutCoreDay cuts a third of the daemons off from the cores under a setting; from the other daemons too, or they
// would hear of changes by gossip.
func withoutCoreDay(setting time.Duration) ControlDay {
	day := cutDay(func(world *World) {
		datas := world.Datas()
		lost, rest := datas[:len(datas)/3], append(world.Cores(), datas[len(datas)/3:]...)
		world.topology.CutOff(lost, rest)
	})
	day.WithoutCore = setting
	return day
}
