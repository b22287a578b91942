package simulation

import "time"

const (
	// manyChangeLength is the length of the scenarios: 500 changes, one each changeInterval.
	manyChangeLength = 50 * time.Second
	changeInterval   = 100 * time.Millisecond
	// manyChangeOperations is the offset of these operators' operation numbers, beyond those of the other operators.
	manyChangeOperations = 4_000_000
)

// ManyChangeScenarios send hundreds of changes while members of the chain are away for long, or have full, slow or
// stalled disks.
var ManyChangeScenarios = map[string]ControlScenario{
	"a member away":            manyChangeScenario(powerOff),
	"a member cut off":         manyChangeScenario(cutOff),
	"a member's disk replaced": manyChangeScenario(wipeDisk),
	"a disk full":              manyChangeScenario(fillDisk),
	"a disk slow":              manyChangeScenario(slowDisk),
	"a disk stalled":           manyChangeScenario(stallDisk),
	"restarts":                 manyChangeScenario(restartAllHosts),
}

// restartAllHosts restarts all control nodes and data daemons, whichever host is chosen.
func restartAllHosts(world *World, _ *Host) func() {
	world.injector.restart(append(world.Cores(), world.Daemons()...))
	return nothingToUndo
}

// manyChangeScenario applies a fault to one control machine after the other, the head first, each for about a third of
// the changes.
func manyChangeScenario(fault hostFault) ControlScenario {
	const turns, pause = 3, 4 * time.Second
	length := manyChangeLength/turns - pause
	return ControlScenario{Length: manyChangeLength, ConflictEvery: 2 * time.Second, begin: func(world *World) {
		newOperators(world, manyChangeOperations).changePeriodically(changeInterval, world.Now.Add(manyChangeLength))
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
