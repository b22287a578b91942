package simulation

// hotPart is the part of the requests that share one prefix while there is a hot key.
const hotPart = 0.9

// loadFaults concern the clients' requests and the planned restarts of daemons.
var loadFaults = map[string]Fault{
	"daemon drained": drainDaemon,
	"crowd":          overload,
	"hot key":        heatOneKey,
	"uneven daemons": loadUnevenly,
}

func drainDaemon(world *World) func() {
	world.pick(world.Datas()).daemon.drainAndRestart()
	return nothingToUndo
}

func overload(world *World) func() {
	world.Traffic.overloadBursts++
	return func() { world.Traffic.overloadBursts-- }
}

func heatOneKey(world *World) func() {
	world.Traffic.Hot = hotPart
	return func() { world.Traffic.Hot = 0 }
}

func loadUnevenly(world *World) func() {
	world.Traffic.daemons.uneven = true
	return func() { world.Traffic.daemons.uneven = false }
}
