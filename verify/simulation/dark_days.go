package simulation

import "time"

const (
	// darkShare is the part of the data daemons that is lost on the days of dark daemons.
	darkShare = 0.7
	// darkLength is how long they are away, unless they are for good.
	darkLength = 12 * time.Second
	// darkOrders is above the numbers of all changes that ordinary operators send.
	darkOrders = 5_000_000
	// acknowledgementBound is within what time a change is acknowledged while the core is whole, however many daemons
	// are dark.
	acknowledgementBound = 2500 * time.Millisecond
)

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

// darkDay does a fault to most data daemons at once, and wants changes acknowledged meanwhile.
func darkDay(fault hostFault) ControlDay {
	return ControlDay{Length: darkLength + 3*time.Second, RaceEvery: time.Second, begin: func(world *World) {
		datas := world.injector.shuffled(world.Datas())
		for _, host := range datas[:int(float64(len(datas))*darkShare+0.5)] {
			world.After(darkLength, fault(world, host))
		}
		newOperators(world, darkOrders).wantAcknowledged(700*time.Millisecond, world.Now.Add(darkLength))
	}}
}
