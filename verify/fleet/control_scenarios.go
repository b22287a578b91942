package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wardtray/verify/histories"
)

// coresFrozen freezes the head of the chain, and the next one later, in the middle of changes.
func coresFrozen(Deployment) []Step {
	const begin, every, length = 0.1, 0.45, 0.2
	const cores = 2
	steps := make([]Step, 0, 2*cores)
	for core := range cores {
		part := begin + every*float64(core)
		steps = append(steps,
			at(part, freezeCoreDuringChange(core), change(2, fmt.Sprintf("beside-the-freeze-%d", core))),
			at(part+length, resumeCore(core), change(core, fmt.Sprintf("after-the-freeze-%d", core))),
		)
	}
	return steps
}

// freezeCoreDuringChange freezes a control machine's process while a change is sent to it.
func freezeCoreDuringChange(number int) Action {
	return func(ctx context.Context, stage *Stage) error {
		core := stage.Cores()[number]
		stage.recordFault(core.Name+" frozen", core, false, coreExcuse)
		stage.background.Go(func() { stage.change(ctx, core, fmt.Sprintf("into-the-freeze-%d", number)) })
		core.Freeze()
		return nil
	}
}

// coreWiped has a control machine lose its disk.
func coreWiped(Deployment) []Step {
	const wiped = 1
	wipe := func(_ context.Context, stage *Stage) error {
		core := stage.Cores()[wiped]
		stage.recordFault(core.Name+" loses its disk", core, false, coreExcuse)
		return stage.wipeCore(wiped)
	}
	return []Step{
		at(0.2, wipe, change(0, "without-it")),
		at(0.4, startCore(wiped)),
		at(0.8, change(wiped, "through-it")),
	}
}

// coresSwapped replaces every control machine, one after the other, by one without data at a new address.
func coresSwapped(deployment Deployment) []Step {
	const begin, share, end = 0.05, 0.85, 0.95
	count := deployment.Cores()
	var steps []Step
	for number := range count {
		part := begin + share*float64(number)/float64(count)
		steps = append(steps, at(part, swapCore(number), change((number+1)%count, fmt.Sprintf("swap-%d", number))))
	}
	return append(steps, at(end, change(0, "after-all")))
}

func swapCore(number int) Action {
	return func(ctx context.Context, stage *Stage) error {
		core := stage.Cores()[number]
		stage.recordFault(core.Name+" swapped for a blank one at a new address", core, false, coreExcuse)
		return stage.swapCore(ctx, number)
	}
}

// controlOff has no control plane for a while. A change must be accepted soon after its return.
func controlOff(Deployment) []Step {
	kill := func(_ context.Context, stage *Stage) error {
		killAll(stage.Cores())
		return nil
	}
	start := func(ctx context.Context, stage *Stage) error { return startAll(ctx, stage.Cores()) }
	return []Step{at(0.2, kill), at(0.7, start, changeUntilAccepted)}
}

// changeUntilAccepted sends changes through the first core until one is accepted; the error is a NotAcceptedError where
// none is within the bound of a return.
func changeUntilAccepted(ctx context.Context, stage *Stage) error {
	back := time.Now()
	order := stage.change(ctx, stage.Cores()[0], "after-control")
	err := waitFor(ctx, histories.ReturnBound, func() bool {
		if !isAccepted(order) {
			order = stage.change(ctx, stage.Cores()[0], fmt.Sprintf("after-control-%v", time.Since(back)))
		}
		return isAccepted(order)
	})
	if err != nil {
		return fmt.Errorf("within %v of the return: %w: %w", histories.ReturnBound, err, &NotAcceptedError{order})
	}
	return nil
}

// zoneLost kills everything in the first zone, and starts it again later.
func zoneLost(deployment Deployment) []Step {
	zone := deployment.Zones[0].Name
	lose := func(_ context.Context, stage *Stage) error {
		const excused = 4 * time.Second
		for _, process := range stage.processesIn(zone) {
			stage.recordFault(process.Name+" lost with its zone", process, true, excused)
			process.Kill()
		}
		for place := range deployment.Runners {
			if runner := stage.Runners.At(place); runner.Zone == zone {
				stage.recordRunnerFault("lost with its zone", runner, crashExcuse, 0)
				stage.Runners.Crash(place)
			}
		}
		return nil
	}
	start := func(ctx context.Context, stage *Stage) error {
		if err := startAll(ctx, stage.processesIn(zone)); err != nil {
			return err
		}
		for place := range deployment.Runners {
			if deployment.zoneOf(place) != 0 {
				continue
			}
			if err := stage.Runners.Start(ctx, place); err != nil {
				return err
			}
		}
		return nil
	}
	return []Step{at(0.2, lose, change(1, "without-the-zone")), at(0.6, start)}
}

// allDown kills every process at once and starts all of them again.
var allDown = steps(
	at(0.15, change(0, "before"), func(ctx context.Context, stage *Stage) error {
		return stage.restartAll(ctx, "killed with all others")
	}),
	at(0.9, change(0, "afterwards")),
)

// rollingRestart restarts every process in order, one after the other.
func rollingRestart(deployment Deployment) []Step {
	const begin, share = 0.05, 0.9
	count := deployment.Cores() + deployment.Machines()
	steps := make([]Step, 0, count)
	for index := range count {
		steps = append(steps, at(begin+share*float64(index)/float64(count), restart(index)))
	}
	return steps
}

// restart ends a process in order and starts it again.
func restart(index int) Action {
	return func(ctx context.Context, stage *Stage) error {
		process := stage.Processes()[index]
		if err := process.Terminate(ctx); err != nil {
			return err
		}
		return process.Start(ctx)
	}
}

// faultAtTheEnd kills every process directly after a change was acknowledged. When they are back, a change is sent.
var faultAtTheEnd = steps(at(0.97, func(ctx context.Context, stage *Stage) error {
	order := stage.change(ctx, stage.Cores()[0], "last")
	if !isAccepted(order) {
		return &NotAcceptedError{order}
	}
	if err := stage.restartAll(ctx, "killed at the very end"); err != nil {
		return err
	}
	// The rule of returns wants a change that is accepted, and judges where there is none.
	if err := changeUntilAccepted(ctx, stage); !errors.Is(err, ErrTimeout) {
		return err
	}
	return nil
}))
