package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wardtray/verify/histories"
)

// coresFrozen freezes the initial head of the chain and later the next control machine, each during a configuration
// change.
func coresFrozen(Deployment) []Step {
	const begin, interval, duration = 0.1, 0.45, 0.2
	const cores = 2
	steps := make([]Step, 0, 2*cores)
	for core := range cores {
		fraction := begin + interval*float64(core)
		steps = append(steps,
			at(fraction, freezeCoreDuringChange(core), change(2, fmt.Sprintf("beside-the-freeze-%d", core))),
			at(fraction+duration, resumeCore(core), change(core, fmt.Sprintf("after-the-freeze-%d", core))),
		)
	}
	return steps
}

// freezeCoreDuringChange freezes a control machine's process while a change is being sent to it.
func freezeCoreDuringChange(number int) Action {
	return func(ctx context.Context, run *ScenarioRun) error {
		core := run.Cores()[number]
		run.recordFault(core.Name+" frozen", core, false, coreGracePeriod)
		run.background.Go(func() { run.change(ctx, core, fmt.Sprintf("into-the-freeze-%d", number)) })
		core.Freeze()
		return nil
	}
}

// coreWiped kills a control machine, deletes its data and starts it again without data.
func coreWiped(Deployment) []Step {
	const wiped = 1
	wipe := func(_ context.Context, run *ScenarioRun) error {
		core := run.Cores()[wiped]
		run.recordFault(core.Name+" loses its disk", core, false, coreGracePeriod)
		return run.wipeCore(wiped)
	}
	return []Step{
		at(0.2, wipe, change(0, "without-it")),
		at(0.4, startCore(wiped)),
		at(0.8, change(wiped, "through-it")),
	}
}

// coresSwapped replaces each control machine in turn by one without data at a new address.
func coresSwapped(deployment Deployment) []Step {
	const begin, share, end = 0.05, 0.85, 0.95
	count := deployment.Cores()
	var steps []Step
	for number := range count {
		fraction := begin + share*float64(number)/float64(count)
		steps = append(steps, at(fraction, swapCore(number), change((number+1)%count, fmt.Sprintf("swap-%d", number))))
	}
	return append(steps, at(end, change(0, "after-all")))
}

func swapCore(number int) Action {
	return func(ctx context.Context, run *ScenarioRun) error {
		core := run.Cores()[number]
		run.recordFault(core.Name+" swapped for a blank one at a new address", core, false, coreGracePeriod)
		return run.swapCore(ctx, number)
	}
}

// controlPlaneDown stops the control plane for half of the load. After its return, a change must be accepted within
// histories.RecoveryBound.
func controlPlaneDown(Deployment) []Step {
	kill := func(_ context.Context, run *ScenarioRun) error {
		killAll(run.Cores())
		return nil
	}
	start := func(ctx context.Context, run *ScenarioRun) error { return startAll(ctx, run.Cores()) }
	return []Step{at(0.2, kill), at(0.7, start, changeUntilAccepted)}
}

// changeUntilAccepted sends changes through the first control machine until one is accepted. If none is accepted within
// histories.RecoveryBound, the error wraps ErrTimeout and a NotAcceptedError.
func changeUntilAccepted(ctx context.Context, run *ScenarioRun) error {
	returned := time.Now()
	request := run.change(ctx, run.Cores()[0], "after-control")
	err := waitFor(ctx, histories.RecoveryBound, func() bool {
		if !isAccepted(request) {
			request = run.change(ctx, run.Cores()[0], fmt.Sprintf("after-control-%v", time.Since(returned)))
		}
		return isAccepted(request)
	})
	if err != nil {
		return fmt.Errorf("within %v of the return: %w: %w", histories.RecoveryBound, err, &NotAcceptedError{request})
	}
	return nil
}

// zoneLost kills all processes and runners of the first zone and starts them again later.
func zoneLost(deployment Deployment) []Step {
	zone := deployment.Zones[0].Name
	lose := func(_ context.Context, run *ScenarioRun) error {
		const gracePeriod = 4 * time.Second
		for _, process := range run.processesIn(zone) {
			run.recordFault(process.Name+" lost with its zone", process, true, gracePeriod)
			process.Kill()
		}
		for index := range deployment.Runners {
			if runner := run.Runners.At(index); runner.Zone == zone {
				run.recordRunnerFault("lost with its zone", runner, crashGracePeriod, 0)
				run.Runners.Crash(index)
			}
		}
		return nil
	}
	start := func(ctx context.Context, run *ScenarioRun) error {
		if err := startAll(ctx, run.processesIn(zone)); err != nil {
			return err
		}
		for index := range deployment.Runners {
			if deployment.zoneOf(index) != 0 {
				continue
			}
			if err := run.Runners.Start(ctx, index); err != nil {
				return err
			}
		}
		return nil
	}
	return []Step{at(0.2, lose, change(1, "without-the-zone")), at(0.6, start)}
}

// allDown kills all processes at once and starts them again.
var allDown = steps(
	at(0.15, change(0, "before"), func(ctx context.Context, run *ScenarioRun) error {
		return run.restartAll(ctx, "killed with all others")
	}),
	at(0.9, change(0, "afterwards")),
)

// rollingRestart restarts the processes gracefully, one after the other.
func rollingRestart(deployment Deployment) []Step {
	const begin, share = 0.05, 0.9
	count := deployment.Cores() + deployment.Machines()
	steps := make([]Step, 0, count)
	for index := range count {
		steps = append(steps, at(begin+share*float64(index)/float64(count), restart(index)))
	}
	return steps
}

// restart terminates a process gracefully and starts it again.
func restart(index int) Action {
	return func(ctx context.Context, run *ScenarioRun) error {
		process := run.Processes()[index]
		if err := process.Terminate(ctx); err != nil {
			return err
		}
		return process.Start(ctx)
	}
}

// faultAtTheEnd kills every process directly after a change is acknowledged. After their restart it sends another
// change.
var faultAtTheEnd = steps(at(0.97, func(ctx context.Context, run *ScenarioRun) error {
	request := run.change(ctx, run.Cores()[0], "last")
	if !isAccepted(request) {
		return &NotAcceptedError{request}
	}
	if err := run.restartAll(ctx, "killed at the very end"); err != nil {
		return err
	}
	// If no change is accepted after the restart, the history's check of the recovery reports a violation, so a timeout is
	// no error here.
	if err := changeUntilAccepted(ctx, run); !errors.Is(err, ErrTimeout) {
		return err
	}
	return nil
}))
