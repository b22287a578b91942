package fleet

import "context"

// retriesDuringRestarts makes the data daemons lose their records of earlier requests, or become unable to reach them,
// while clients retry: it restarts all data daemons, freezes and resumes a zone, and restarts all processes.
func retriesDuringRestarts(deployment Deployment) []Step {
	const frozenFraction = 0.15
	zone := deployment.Zones[len(deployment.Zones)-1].Name
	return []Step{
		at(0.15, restartDataDaemons, change(0, "after-the-daemons")),
		at(0.35, freezeZone(zone, frozenFraction), change(0, "without-the-zone")),
		at(0.35+frozenFraction, resumeZone(zone)),
		at(0.7, func(ctx context.Context, run *ScenarioRun) error {
			return run.restartAll(ctx, "killed with all others")
		}),
		at(0.95, change(0, "afterwards")),
	}
}

// restartDataDaemons kills all data daemons and starts them again at once.
func restartDataDaemons(ctx context.Context, run *ScenarioRun) error {
	return run.restartEach(ctx, run.DataDaemons(), "restarted with all other daemons", daemonGracePeriod)
}

// freezeZone freezes every process of a zone, so that it neither sends nor receives. The recorded faults last for a
// fraction of the load's duration and daemonGracePeriod.
func freezeZone(zone string, fraction float64) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		for _, process := range run.processesIn(zone) {
			run.recordFault(process.Name+" frozen with its zone", process, true, run.durationOf(fraction)+daemonGracePeriod)
			process.Freeze()
		}
		return nil
	}
}

// resumeZone continues the processes of a frozen zone.
func resumeZone(zone string) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		for _, process := range run.processesIn(zone) {
			process.Resume()
		}
		return nil
	}
}
