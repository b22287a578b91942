package simulation

import "time"

const (
	// lostDaemonShare is the fraction of the data daemons that is lost.
	lostDaemonShare = 0.7
	// daemonLossLength is the time for which the lost daemons are away, unless they are removed permanently.
	daemonLossLength = 12 * time.Second
	// daemonLossOperations is the offset of these operators' operation numbers, beyond those of the other operators.
	daemonLossOperations = 5_000_000
	// acknowledgementBound is the time within which a change is acknowledged while all control machines are healthy,
	// however many data daemons are lost.
	acknowledgementBound = 2500 * time.Millisecond
)

// DaemonLossScenarios lose most data daemons at once while all control machines are healthy.
var DaemonLossScenarios = map[string]ControlScenario{
	"most daemons without power": daemonLossScenario(powerOff),
	"most daemons cut off":       daemonLossScenario(cutOff),
	"most daemons frozen":        daemonLossScenario(freezeProcess),
	"most daemons removed":       daemonLossScenario(removePermanently),
}

// removePermanently kills a machine and removes it from the fleet.
func removePermanently(_ *World, host *Host) func() {
	host.Kill()
	host.removed = true
	return nothingToUndo
}

// daemonLossScenario applies a fault to most data daemons at once, and requires that changes are acknowledged
// meanwhile.
func daemonLossScenario(fault hostFault) ControlScenario {
	return ControlScenario{
		Length:        daemonLossLength + 3*time.Second,
		ConflictEvery: time.Second,
		begin: func(world *World) {
			daemons := world.injector.shuffled(world.Daemons())
			for _, host := range daemons[:int(float64(len(daemons))*lostDaemonShare+0.5)] {
				world.After(daemonLossLength, fault(world, host))
			}
			newOperators(world, daemonLossOperations).sendRequiringAnswers(700*time.Millisecond, world.Now.Add(daemonLossLength))
		},
	}
}
