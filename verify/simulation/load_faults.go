package simulation

// hotKeyShare is the fraction of the requests that share one prefix while there is a hot key.
const hotKeyShare = 0.9

// loadFaults are the kinds of load imbalance, and planned restarts of daemons.
var loadFaults = map[string]Fault{
	"daemon drained": drainDaemon,
	"crowd":          overload,
	"hot key":        concentrateOnHotKey,
	"uneven daemons": loadUnevenly,
}

func drainDaemon(world *World) func() {
	world.pick(world.Daemons()).daemon.drainAndRestart()
	return nothingToUndo
}

func overload(world *World) func() {
	world.Traffic.overloadBursts++
	return func() { world.Traffic.overloadBursts-- }
}

func concentrateOnHotKey(world *World) func() {
	world.Traffic.Hot = hotKeyShare
	return func() { world.Traffic.Hot = 0 }
}

func loadUnevenly(world *World) func() {
	world.Traffic.daemons.uneven = true
	return func() { world.Traffic.daemons.uneven = false }
}
