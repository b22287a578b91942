package fleet

import "context"

// sentAgain does what takes the memory of daemons, or the way to it, from those to whom requests are sent again: every
// data daemon is killed and started, a zone is frozen and resumed, and every process is killed and started.
func sentAgain(deployment Deployment) []Step {
	const frozenPart = 0.15
	zone := deployment.Zones[len(deployment.Zones)-1].Name
	return []Step{
		at(0.15, restartDataDaemons, change(0, "after-the-daemons")),
		at(0.35, freezeZone(zone, frozenPart), change(0, "without-the-zone")),
		at(0.35+frozenPart, resumeZone(zone)),
		at(0.7, func(ctx context.Context, stage *Stage) error {
			return stage.restartAll(ctx, "killed with all others")
		}),
		at(0.95, change(0, "afterwards")),
	}
}

// restartDataDaemons kills every data daemon and starts it again at once.
func restartDataDaemons(ctx context.Context, stage *Stage) error {
	return stage.restartEach(ctx, stage.DataDaemons(), "restarted with all other daemons", daemonExcuse)
}

// freezeZone freezes every process of a zone for a part of the load's length: nothing goes in or out.
func freezeZone(zone string, part float64) Action {
	return func(_ context.Context, stage *Stage) error {
		for _, process := range stage.processesIn(zone) {
			stage.recordFault(process.Name+" frozen with its zone", process, true, stage.part(part)+daemonExcuse)
			process.Freeze()
		}
		return nil
	}
}

// resumeZone continues the processes of a frozen zone.
func resumeZone(zone string) Action {
	return func(_ context.Context, stage *Stage) error {
		for _, process := range stage.processesIn(zone) {
			process.Resume()
		}
		return nil
	}
}
