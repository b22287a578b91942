package simulation

import "time"

const (
	// manyChanges is the length of the days of many changes: 500, one each changeInterval.
	manyChanges    = 50 * time.Second
	changeInterval = 100 * time.Millisecond
	// manyChangeOrders is above the numbers of all changes that ordinary operators send.
	manyChangeOrders = 4_000_000
)

// ManyChangeDays are hundreds of changes while members are away for long, or their disks are full, slow or stalled.
var ManyChangeDays = map[string]ControlDay{
	"a member away":            manyChangeDay(powerOff),
	"a member cut off":         manyChangeDay(cutOff),
	"a member's disk replaced": manyChangeDay(wipeDisk),
	"a disk full":              manyChangeDay(fillDisk),
	"a disk slow":              manyChangeDay(slowDisk),
	"a disk stalled":           manyChangeDay(stallDisk),
	"restarts":                 manyChangeDay(restartAllBesides),
}

// restartAllBesides restarts all cores and daemons, whichever host is chosen.
func restartAllBesides(world *World, _ *Host) func() {
	world.injector.restart(append(world.Cores(), world.Datas()...))
	return nothingToUndo
}

// manyChangeDay does a fault to one member after the other, the head first, each for about a third of the changes.
func manyChangeDay(fault hostFault) ControlDay {
	const turns, pause = 3, 4 * time.Second
	length := manyChanges/turns - pause
	return ControlDay{Length: manyChanges, RaceEvery: 2 * time.Second, begin: func(world *World) {
		newOperators(world, manyChangeOrders).changeSteadily(changeInterval, world.Now.Add(manyChanges))
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
