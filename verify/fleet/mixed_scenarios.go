package fleet

import (
	"context"

	"wardtray/control/proposal"
)

// oneOfEach is the default scenario: a runner, a data daemon and the head of the chain are killed and come back.
func oneOfEach(deployment Deployment) []Step {
	const (
		runner = 3
		daemon = 5
		head   = 0
	)
	return []Step{
		at(0.2, crashRunner(runner)),
		at(0.35, killDaemon(daemon)),
		at(0.45, startDaemon(daemon), startRunner(runner)),
		at(0.5, func(ctx context.Context, stage *Stage) error {
			core := stage.Cores()[head]
			stage.recordFault(core.Name+" killed", core, true, coreExcuse)
			core.Kill()
			stage.apply(ctx, stage.lastCore(), "during", firstEpoch, "extra-lane")
			return nil
		}),
		at(0.7, startCore(head), func(ctx context.Context, stage *Stage) error {
			stage.Operator.Zone(ctx, stage.lastCore(), "closing", proposal.VerbClose, deployment.Zones[1].Name)
			return nil
		}),
	}
}

// overload has five times the usual load for a quarter of the time.
var overload = steps(at(0.3, scaleLoad(5)), at(0.55, scaleLoad(1)))
