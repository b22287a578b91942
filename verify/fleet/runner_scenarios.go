package fleet

import (
	"context"
	"time"

	"wardtray/verify/emulator"
)

// runnersUnresponsive makes two runners read requests without responding, and replaces them later.
var runnersUnresponsive = steps(
	at(0.2, makeRunnerUnresponsive(2), makeRunnerUnresponsive(9)),
	at(0.5, removeRunner(2), removeRunner(9)),
	at(0.6, startRunner(2), startRunner(9)),
)

// runnersFaulty makes one runner abort its streams and another one slow.
func runnersFaulty(Deployment) []Step {
	const (
		partial  = 4
		slow     = 5
		slowdown = 10
	)
	begin := func(_ context.Context, run *ScenarioRun) error {
		run.recordRunnerFault("runner 4 breaks streams", run.Runners.At(partial), run.loadDuration/2, 0)
		run.recordRunnerFault("runner 5 is ten times slower", run.Runners.At(slow), run.loadDuration/2,
			maximumDetectionTime)
		run.Runners.At(partial).Faults.Partial.Store(true)
		run.Runners.At(slow).Faults.Slowdown.Store(slowdown)
		return nil
	}
	end := func(_ context.Context, run *ScenarioRun) error {
		run.Runners.At(partial).Faults.Partial.Store(false)
		run.Runners.At(slow).Faults.Slowdown.Store(1)
		return nil
	}
	return []Step{at(0.2, begin), at(0.5, end)}
}

// addressReused starts a runner of another service at the address of a crashed runner.
func addressReused(Deployment) []Step {
	const (
		index       = 6
		gracePeriod = 5 * time.Second
	)
	var foreign *emulator.Runner
	takeOver := func(ctx context.Context, run *ScenarioRun) (err error) {
		crashed := run.Runners.At(index)
		run.recordRunnerFault("a stranger takes over runner 6's address", crashed, gracePeriod, 0)
		crashed.Crash()
		foreign, err = run.Runners.StartForeign(ctx, crashed)
		return err
	}
	// Until then the platform still lists the crashed runner, so a data daemon could send its requests to the foreign one.
	delist := func(_ context.Context, run *ScenarioRun) error {
		run.Runners.Remove(index)
		return nil
	}
	list := func(_ context.Context, run *ScenarioRun) error {
		run.Platform.Set(foreign, emulator.StateReady)
		return nil
	}
	leave := func(context.Context, *ScenarioRun) error {
		foreign.Crash()
		return nil
	}
	return []Step{at(0.2, takeOver), at(0.5, delist), at(0.6, list), at(0.9, leave)}
}

// rollingRelease replaces the runners one after the other.
func rollingRelease(deployment Deployment) []Step {
	const begin, share = 0.1, 0.8
	steps := make([]Step, 0, deployment.Runners)
	for index := range deployment.Runners {
		fraction := begin + share/float64(deployment.Runners)*float64(index)
		steps = append(steps, at(fraction, replaceRunner(index)))
	}
	return steps
}

// replaceRunner drains the runner at an index, starts its replacement at once, and ends the old runner after drainTime.
func replaceRunner(index int) Action {
	const drainTime = 4 * time.Second
	return func(ctx context.Context, run *ScenarioRun) error {
		leaving := run.Runners.At(index)
		run.Platform.Set(leaving, emulator.StateDraining)
		run.background.Go(func() {
			if sleep(ctx, drainTime) != nil {
				return
			}
			// A release waits only this long for runs to finish.
			run.recordRunnerFault("ended by the release", leaving, crashGracePeriod, 0)
			run.Platform.Remove(leaving)
			leaving.Crash()
		})
		return run.Runners.StartReplacement(ctx, index)
	}
}
