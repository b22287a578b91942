package simulation

// processFaults kill, freeze or slow down control nodes and data daemons.
var processFaults = map[string]Fault{
	"data killed":        onDaemon(impact{kills: true}, killProcess),
	"data without power": onDaemon(impact{kills: true, detectableAfter: unresponsiveBound}, powerOff),
	"data frozen":        onDaemon(impact{}, freezeProcess),
	"daemons restarted":  restartDaemons,
	"all restarted":      restartAll,
	"core killed":        onCore(killProcess),
	"core without power": onCore(powerOff),
	"core frozen":        onCore(freezeProcess),
	"core slow":          onCore(slowProcess),
	"head killed":        onHead(killProcess),
}

// nothingToUndo undoes a fault that ends by itself.
func nothingToUndo() {}

func restartDaemons(world *World) func() {
	world.injector.restart(world.Daemons())
	return nothingToUndo
}

func restartAll(world *World) func() {
	world.injector.shuffleSeeds()
	world.injector.restart(append(world.Cores(), world.Daemons()...))
	return nothingToUndo
}

// killAllCores kills all control nodes.
func killAllCores(world *World) func() {
	for _, host := range world.Cores() {
		host.Kill()
	}
	return func() { boot(world.Cores()) }
}

// boot starts those of the hosts that don't run.
func boot(hosts []*Host) {
	for _, host := range hosts {
		host.Boot()
	}
}
