package fleet

import "fmt"

// daemonsFrozen freezes three data daemons, one after the other, each while the configuration changes.
func daemonsFrozen(Deployment) []Step {
	const begin, every, length = 0.1, 0.25, 0.15
	daemons := []int{1, 4, 7}
	steps := make([]Step, 0, 2*len(daemons))
	for index, daemon := range daemons {
		part := begin + every*float64(index)
		steps = append(steps,
			at(part, freezeDaemon(daemon, length), change(1, fmt.Sprintf("frozen-%d", index))),
			at(part+length, resumeDaemon(daemon)),
		)
	}
	return steps
}

// daemonsKilled kills three data daemons, one after the other, each while the configuration changes.
func daemonsKilled(Deployment) []Step {
	const begin, every, length = 0.1, 0.25, 0.1
	daemons := []int{2, 5, 8}
	steps := make([]Step, 0, 2*len(daemons))
	for index, daemon := range daemons {
		part := begin + every*float64(index)
		steps = append(steps,
			at(part, killDaemon(daemon), change(1, fmt.Sprintf("killed-%d", index))),
			at(part+length, startDaemon(daemon)),
		)
	}
	return steps
}

// clientsLeave has overload and a runner that does not respond while clients leave, then daemons that freeze.
func clientsLeave(deployment Deployment) []Step {
	return append([]Step{
		at(0.1, silenceRunner(2)),
		at(0.2, scaleLoad(4)),
		at(0.5, scaleLoad(1)),
	}, daemonsFrozen(deployment)...)
}
