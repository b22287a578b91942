package fleet

import (
	"context"

	"wardtray/control/proposal"
)

// killOneOfEach kills and restarts a runner, a data daemon and the head of the chain, and changes the configuration
// meanwhile. It is the default scenario.
func killOneOfEach(deployment Deployment) []Step {
	const (
		runner = 3
		daemon = 5
		head   = 0
	)
	return []Step{
		at(0.2, crashRunner(runner)),
		at(0.35, killDaemon(daemon)),
		at(0.45, startDaemon(daemon), startRunner(runner)),
		at(0.5, func(ctx context.Context, run *ScenarioRun) error {
			core := run.Cores()[head]
			run.recordFault(core.Name+" killed", core, true, coreGracePeriod)
			core.Kill()
			run.apply(ctx, run.lastCore(), "during", firstEpoch, "extra-lane")
			return nil
		}),
		at(0.7, startCore(head), func(ctx context.Context, run *ScenarioRun) error {
			run.Operator.Zone(ctx, run.lastCore(), "closing", proposal.VerbClose, deployment.Zones[1].Name)
			return nil
		}),
	}
}

// overload sends five times the base rate for a quarter of the load's duration.
var overload = steps(at(0.3, scaleLoad(5)), at(0.55, scaleLoad(1)))
