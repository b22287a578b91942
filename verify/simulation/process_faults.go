package simulation

// processFaults end, freeze or slow processes of the control plane and its daemons.
var processFaults = map[string]Fault{
	"data killed":        onDaemon(impact{kills: true}, killProcess),
	"data without power": onDaemon(impact{kills: true, knowable: unresponsiveBound}, powerOff),
	"data frozen":        onDaemon(impact{}, freezeProcess),
	"daemons restarted":  restartDaemons,
	"all restarted":      restartAll,
	"core killed":        onCore(killProcess),
	"core without power": onCore(powerOff),
	"core frozen":        onCore(freezeProcess),
	"core slow":          onCore(slowProcess),
	"head killed":        onHead(killProcess),
}

// nothingToUndo is the undoing of a fault that is over by itself.
func nothingToUndo() {}

func restartDaemons(world *World) func() {
	world.injector.restart(world.Datas())
	return nothingToUndo
}

func restartAll(world *World) func() {
	world.injector.shuffleSeeds()
	world.injector.restart(append(world.Cores(), world.Datas()...))
	return nothingToUndo
}

// killAllCores ends the process of each core.
func killAllCores(world *World) func() {
	for _, host := range world.Cores() {
		host.Kill()
	}
	return func() { boot(world.Cores()) }
}

// boot starts those of some hosts that don't run.
func boot(hosts []*Host) {
	for _, host := range hosts {
		host.Boot()
	}
}
