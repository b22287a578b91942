package simulation

import (
	"time"

	"wardtray/wire"
)

const (
	// cutLength is how long a control machine is cut off on the days of the first point.
	cutLength = 20 * time.Second
	// catchUpTime is how long after its start a repaired or new machine may still count as lost.
	catchUpTime = 4 * time.Second
	// acknowledgementBound is within what time a change is acknowledged while the core is whole, however many daemons
	// are dark.
	acknowledgementBound = 2500 * time.Millisecond
)

// ControlDay is what happens to the control plane, for a length of time, while operators race. Its harm is over at its
// end.
type ControlDay struct {
	Length time.Duration
	// RaceEvery is how often two operators race, LostAnswers the part of the answers that don't reach them.
	RaceEvery   time.Duration
	LostAnswers float64
	// WithoutCore, where it is given, is the setting of the data daemons; negative stands for 0.
	WithoutCore time.Duration
	// Fleeting means that more was lost than a deployment bears: nothing wrong may be done, but service may not come
	// back.
	Fleeting bool
	harm     func(world *World)
}

// PlayControlDay founds a deployment, plays the day, and sees whether all that was acknowledged is there, nothing that
// was refused is, and service and redundancy come back.
func PlayControlDay(seed int64, shape Shape, day ControlDay) (*World, *Racers) {
	world := Found(seed, shape, func(world *World) {
		if day.WithoutCore != 0 {
			world.WithoutCore = max(0, day.WithoutCore)
		}
	})
	world.Run(8 * time.Second)
	racers := startRacers(world, day.RaceEvery, day.LostAnswers)
	world.Run(time.Second)
	day.harm(world)
	world.Run(day.Length + time.Millisecond)
	if day.Fleeting {
		racers.Stop()
		return world, racers
	}
	faultsEnded := world.Now
	world.recovery.requireService()
	world.recovery.requireRedundancy(faultsEnded)
	racers.Stop()
	if len(world.Check.Violations) == 0 {
		world.verifyOutcomes()
	}
	return world, racers
}

// verifyOutcomes reads back from every core machine what became of each change that was answered.
func (world *World) verifyOutcomes() {
	world.Run(2 * time.Second)
	for _, host := range world.Cores() {
		document := host.core.node.Chain().Committed()
		outcomes := map[string]uint64{}
		for _, outcome := range document.Outcomes {
			outcomes[outcome.Operation] = outcome.SpecEpoch
		}
		for _, order := range world.Check.outcomes.acknowledged {
			if epoch, found := outcomes[order.Operation]; !found || epoch != order.Epoch {
				world.Check.violation("forgotten: %s has %s as epoch %d, which was acknowledged as %d", host.Address,
					order.Operation, epoch, order.Epoch)
			}
		}
		for operation := range world.Check.outcomes.refused {
			if _, found := outcomes[operation]; found {
				world.Check.violation("%s was refused and is in effect at %s", operation, host.Address)
			}
		}
		read := world.Check.Send(host, &wire.OperatorRequest{Verb: "get"})
		world.Run(2 * time.Second)
		if read.Status != 200 || read.Epoch < world.Check.outcomes.greatestAcknowledged() {
			world.Check.violation("forgotten: read back at %s: status %d, epoch %d of %d", host.Address, read.Status,
				read.Epoch, world.Check.outcomes.greatestAcknowledged())
		}
	}
}

// cutDay cuts for cutLength and lets the races go on for a while after it.
func cutDay(cut func(world *World)) ControlDay {
	return ControlDay{
		Length:      cutLength + 4*time.Second,
		RaceEvery:   500 * time.Millisecond,
		LostAnswers: 0.2,
		harm: func(world *World) {
			cut(world)
			world.After(cutLength, world.topology.Heal)
		},
	}
}

// CutDays are cuts of each shape, with changes, races and reads that meet them at machines on both sides.
var CutDays = map[string]ControlDay{
	"leader off": cutDay(func(world *World) {
		head := world.injector.head()
		world.topology.CutOff([]*Host{head}, without(world.Hosts, head))
	}),
	"leader off from the core": cutDay(func(world *World) {
		head := world.injector.head()
		world.topology.CutOff([]*Host{head}, without(world.Cores(), head))
	}),
	"leader off, back at the worst moment": cutDay(func(world *World) {
		head := world.injector.head()
		var flap func()
		flap = func() {
			world.topology.CutOff([]*Host{head}, without(world.Cores(), head))
			// It comes back about when the next leader begins to act, and goes again.
			world.After(time.Duration(world.random.Int63n(int64(3*time.Second))), func() {
				world.topology.Heal()
				world.After(time.Duration(world.random.Int63n(int64(time.Second))), flap)
			})
		}
		end := world.Now.Add(cutLength)
		flapping := flap
		flap = func() {
			if world.Now.Before(end.Add(-3 * time.Second)) {
				flapping()
			}
		}
		flap()
	}),
	"leader off and killed before it is back": cutDay(func(world *World) {
		head := world.injector.head()
		world.topology.CutOff([]*Host{head}, without(world.Hosts, head))
		world.After(cutLength-time.Second, func() {
			head.Kill()
			world.After(1500*time.Millisecond, func() { head.Boot() })
		})
	}),
	"leader unheard": cutDay(func(world *World) { world.topology.cutOneWay(world.injector.head(), world.Hosts, true) }),
	"leader deaf":    cutDay(func(world *World) { world.topology.cutOneWay(world.injector.head(), world.Hosts, false) }),
	"one link, one way": cutDay(func(world *World) {
		head := world.injector.head()
		other := world.pick(without(world.Cores(), head))
		pair := []*Host{head, other}
		from := world.random.Intn(2)
		world.topology.Cut(pair[from], pair[1-from])
	}),
	"both halves": cutDay(func(world *World) {
		left, right := world.injector.halves()
		world.topology.CutOff(left, right)
	}),
	"both halves, one way": cutDay(func(world *World) {
		left, right := world.injector.halves()
		for _, one := range left {
			for _, other := range right {
				world.topology.Cut(one, other)
			}
		}
	}),
	"leader off by resets": cutDay(func(world *World) {
		head := world.injector.head()
		world.topology.CutOff([]*Host{head}, without(world.Hosts, head))
		var reset func()
		end := world.Now.Add(cutLength + time.Second)
		reset = func() {
			head.resetConnections()
			if world.Now.Before(end) {
				world.After(300*time.Millisecond, reset)
			}
		}
		reset()
	}),
	"seeds on the wrong side": cutDay(func(world *World) {
		head := world.injector.head()
		world.topology.CutOff([]*Host{head}, without(world.Hosts, head))
		// Whoever starts now knows no core machine but the one that is cut off.
		for _, host := range world.Hosts {
			host.seeds = []string{head.Address}
		}
		world.injector.restart(without(world.Cores(), head))
		world.After(5*time.Second, func() { world.injector.restart(world.Datas()) })
	}),
}

// shortWithoutCore is a setting that ends within a cut.
const shortWithoutCore = 6 * time.Second

// WithoutCoreDays cut daemons off from every core machine under settings that end within the cut, or allow nothing.
var WithoutCoreDays = map[string]ControlDay{
	"not at all":    withoutCoreDay(-1),
	"for a while":   withoutCoreDay(shortWithoutCore),
	"for very long": withoutCoreDay(5 * time.Minute),
}

func withoutCoreDay(setting time.Duration) ControlDay {
	day := cutDay(func(world *World) {
		// Without the other daemons too, or they would hear of changes by gossip.
		datas := world.Datas()
		lost, rest := datas[:len(datas)/3], append(world.Cores(), datas[len(datas)/3:]...)
		world.topology.CutOff(lost, rest)
	})
	day.WithoutCore = setting
	return day
}

// RaceDays are races with lost answers, with the core whole and with a leader that changes.
var RaceDays = map[string]ControlDay{
	"answers lost": {Length: 20 * time.Second, LostAnswers: 0.6, harm: func(*World) {}},
	"answers lost, leaders killed": {Length: 20 * time.Second, LostAnswers: 0.6, harm: func(world *World) {
		for count := range 3 {
			world.After(time.Duration(count)*6*time.Second, func() {
				head := world.injector.head()
				head.Kill()
				world.After(time.Second, func() { head.Boot() })
			})
		}
	}},
	"answers lost, leaders frozen": {Length: 20 * time.Second, LostAnswers: 0.6, harm: func(world *World) {
		for count := range 3 {
			world.After(time.Duration(count)*6*time.Second, func() {
				head := world.injector.head()
				head.Freeze()
				world.After(2500*time.Millisecond, func() { head.Wake() })
			})
		}
	}},
}

// firstLosses are how a machine is taken out, or mended; each gives the machine that is new, and is over by itself.
var firstLosses = map[string]func(world *World, old *Host){
	"repair": func(world *World, old *Host) {
		old.core.wipe()
		world.After(time.Second, func() { old.Boot() })
	},
	"planned leave and return": func(world *World, old *Host) {
		old.core.decommission(func() { world.After(time.Second, func() { old.Boot() }) })
	},
	"planned replacement": func(world *World, old *Host) {
		old.core.decommission(func() { old.removed = true })
		world.injector.addReplacement(old).Boot()
	},
	"unplanned replacement": func(world *World, old *Host) {
		old.Power()
		old.removed = true
		world.After(time.Second, func() { world.injector.addReplacement(old).Boot() })
	},
}

// SecondLossDay has a machine taken out or mended in one of the ways of FirstLossNames, and another one lost, with its
// disk or dark for a while, so long after that began.
func SecondLossDay(first string, wiped bool, after time.Duration) ControlDay {
	// A repaired machine starts a second after its loss. Before it counts as whole, a second disk is one too many.
	whole := after >= time.Second+catchUpTime
	return ControlDay{
		Length:      after + 8*time.Second,
		RaceEvery:   400 * time.Millisecond,
		LostAnswers: 0.2,
		Fleeting:    wiped && !whole,
		harm: func(world *World) {
			old := world.pick(world.Cores())
			if world.random.Intn(2) == 0 {
				old = world.injector.head()
			}
			firstLosses[first](world, old)
			world.After(after, func() {
				var others []*Host
				for _, host := range world.Cores() {
					// One that has not come yet, or a new one, is no second loss.
					if host != old && host.up &&
						(whole || world.injector.replacements == 0 || host != world.Hosts[len(world.Hosts)-1]) {
						others = append(others, host)
					}
				}
				second := world.pick(others)
				world.injector.log("second loss: %s, first %s", second.Address, old.Address)
				second.Power()
				if wiped {
					second.core.wipe()
					second.poweredOff = true
				}
				world.After(5*time.Second, func() { second.Boot() })
			})
		},
	}
}

// FirstLossNames returns the ways in which a machine is taken out or mended.
func FirstLossNames() []string { return sorted(firstLosses) }

// manyChanges is 500 changes, one each 100 ms.
const manyChanges = 50 * time.Second

// ManyChangeDays are hundreds of changes while members are away for long, or their disks are full, slow or stalled.
var ManyChangeDays = map[string]ControlDay{
	"a member away":            manyChangeDay(powerOff),
	"a member cut off":         manyChangeDay(cutOff),
	"a member's disk replaced": manyChangeDay(wipeDisk),
	"a disk full":              manyChangeDay(fillDisk),
	"a disk slow":              manyChangeDay(slowDisk),
	"a disk stalled":           manyChangeDay(stallDisk),
	"restarts": manyChangeDay(func(world *World, _ *Host) func() {
		world.injector.restart(append(world.Cores(), world.Datas()...))
		return nothingToUndo
	}),
}

// manyChangeDay harms one member after the other, each for a quarter of the changes, while changes go on.
func manyChangeDay(fault hostFault) ControlDay {
	const turns, pause = 3, 4 * time.Second
	length := manyChanges/turns - pause
	return ControlDay{Length: manyChanges, RaceEvery: 2 * time.Second, harm: func(world *World) {
		newOperators(world, 4_000_000).changeSteadily(100*time.Millisecond, world.Now.Add(manyChanges))
		for turn := range turns {
			world.After(time.Duration(turn)*(length+pause), func() {
				host := world.pick(world.Cores())
				if turn == 0 {
					host = world.injector.head()
				}
				world.After(length, fault(world, host))
			})
		}
	}}
}

// darkShare is the part of the data daemons that is lost on the days of the fifth kind.
const darkShare = 0.7

// DarkDays are most data daemons gone while the core is whole.
var DarkDays = map[string]ControlDay{
	"most daemons without power": darkDay(powerOff),
	"most daemons cut off":       darkDay(cutOff),
	"most daemons frozen":        darkDay(freezeProcess),
	"most daemons removed":       darkDay(removeForGood),
}

// removeForGood takes a machine away for good.
func removeForGood(_ *World, host *Host) func() {
	host.Kill()
	host.removed = true
	return nothingToUndo
}

func darkDay(fault hostFault) ControlDay {
	const length = 12 * time.Second
	return ControlDay{Length: length + 3*time.Second, RaceEvery: time.Second, harm: func(world *World) {
		datas := world.injector.shuffled(world.Datas())
		for _, host := range datas[:int(float64(len(datas))*darkShare+0.5)] {
			world.After(length, fault(world, host))
		}
		newOperators(world, 5_000_000).wantAcknowledged(700*time.Millisecond, world.Now.Add(length))
	}}
}
