package fleet

import "fmt"

// daemonsFrozen freezes three data daemons, one after the other, each during a configuration change.
func daemonsFrozen(Deployment) []Step {
	const begin, interval, duration = 0.1, 0.25, 0.15
	daemons := []int{1, 4, 7}
	steps := make([]Step, 0, 2*len(daemons))
	for index, daemon := range daemons {
		fraction := begin + interval*float64(index)
		steps = append(steps,
			at(fraction, freezeDaemon(daemon, duration), change(1, fmt.Sprintf("frozen-%d", index))),
			at(fraction+duration, resumeDaemon(daemon)),
		)
	}
	return steps
}

// daemonsKilled kills three data daemons, one after the other, each during a configuration change.
func daemonsKilled(Deployment) []Step {
	const begin, interval, duration = 0.1, 0.25, 0.1
	daemons := []int{2, 5, 8}
	steps := make([]Step, 0, 2*len(daemons))
	for index, daemon := range daemons {
		fraction := begin + interval*float64(index)
		steps = append(steps,
			at(fraction, killDaemon(daemon), change(1, fmt.Sprintf("killed-%d", index))),
			at(fraction+duration, startDaemon(daemon)),
		)
	}
	return steps
}

// clientsDisconnect combines overload and an unresponsive runner with frozen data daemons, while clients disconnect.
func clientsDisconnect(deployment Deployment) []Step {
	return append([]Step{
		at(0.1, makeRunnerUnresponsive(2)),
		at(0.2, scaleLoad(4)),
		at(0.5, scaleLoad(1)),
	}, daemonsFrozen(deployment)...)
}
