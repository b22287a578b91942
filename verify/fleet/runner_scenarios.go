package fleet

import (
	"context"
	"time"

	"wardtray/verify/emulator"
)

// runnersUnresponsive has two runners that read requests and never respond, until new ones replace them.
var runnersUnresponsive = steps(
	at(0.2, silenceRunner(2), silenceRunner(9)),
	at(0.5, removeRunner(2), removeRunner(9)),
	at(0.6, startRunner(2), startRunner(9)),
)

// runnersFaulty has one runner that breaks its streams off and one that is slow.
func runnersFaulty(Deployment) []Step {
	const (
		partial  = 4
		slow     = 5
		slowdown = 10
	)
	begin := func(_ context.Context, stage *Stage) error {
		stage.recordRunnerFault("runner 4 breaks streams", stage.Runners.At(partial), stage.length/2, 0)
		stage.recordRunnerFault("runner 5 is ten times slower", stage.Runners.At(slow), stage.length/2,
			unresponsiveBound)
		stage.Runners.At(partial).Faults.Partial.Store(true)
		stage.Runners.At(slow).Faults.Slowdown.Store(slowdown)
		return nil
	}
	end := func(_ context.Context, stage *Stage) error {
		stage.Runners.At(partial).Faults.Partial.Store(false)
		stage.Runners.At(slow).Faults.Slowdown.Store(1)
		return nil
	}
	return []Step{at(0.2, begin), at(0.5, end)}
}

// addressReused has a runner of another service answer at the address of one that crashed.
func addressReused(Deployment) []Step {
	const (
		place   = 6
		excused = 5 * time.Second
	)
	var stranger *emulator.Runner
	takeOver := func(ctx context.Context, stage *Stage) (err error) {
		crashed := stage.Runners.At(place)
		stage.recordRunnerFault("a stranger takes over runner 6's address", crashed, excused, 0)
		crashed.Crash()
		stranger, err = stage.Runners.StartStranger(ctx, crashed)
		return err
	}
	// The platform goes on listing the crashed runner for a while, which is when the mistake would be made.
	delist := func(_ context.Context, stage *Stage) error {
		stage.Runners.Remove(place)
		return nil
	}
	list := func(_ context.Context, stage *Stage) error {
		stage.Platform.Set(stranger, emulator.StateReady)
		return nil
	}
	leave := func(context.Context, *Stage) error {
		stranger.Crash()
		return nil
	}
	return []Step{at(0.2, takeOver), at(0.5, delist), at(0.6, list), at(0.9, leave)}
}

// rollingRelease replaces every runner, one after the other.
func rollingRelease(deployment Deployment) []Step {
	const begin, share = 0.1, 0.8
	steps := make([]Step, 0, deployment.Runners)
	for place := range deployment.Runners {
		part := begin + share/float64(deployment.Runners)*float64(place)
		steps = append(steps, at(part, releaseRunner(place)))
	}
	return steps
}

// releaseRunner drains the runner in a place, starts a new one beside it, and ends the old one a while later.
func releaseRunner(place int) Action {
	const drainTime = 4 * time.Second
	return func(ctx context.Context, stage *Stage) error {
		leaving := stage.Runners.At(place)
		stage.Platform.Set(leaving, emulator.StateDraining)
		stage.background.Go(func() {
			if sleep(ctx, drainTime) != nil {
				return
			}
			// A release waits a while for runs to end, then does not care.
			stage.recordRunnerFault("ended by the release", leaving, crashExcuse, 0)
			stage.Platform.Remove(leaving)
			leaving.Crash()
		})
		return stage.Runners.StartBeside(ctx, place)
	}
}
