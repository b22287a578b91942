package fleet

import (
	"context"
	"fmt"
	"time"

	"wardtray/verify/histories"
)

const (
	// maximumDetectionTime bounds the time within which the data daemons detect a failure that nothing reports.
	maximumDetectionTime = histories.SilentDetectionTime
	// crashGracePeriod is the period after a runner's crash in which failures that it causes are tolerated.
	crashGracePeriod = time.Second
	// daemonGracePeriod and coreGracePeriod are the corresponding periods after the end of a data daemon and of a control
	// machine.
	daemonGracePeriod = 2 * time.Second
	coreGracePeriod   = 5 * time.Second
)

// scaleLoad multiplies the clients' base request rate by a factor.
func scaleLoad(factor float64) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		run.rate.scale(factor)
		return nil
	}
}

// change applies a configuration change through a control machine and ignores its outcome.
func change(core int, operation string) Action {
	return func(ctx context.Context, run *ScenarioRun) error {
		run.change(ctx, run.Cores()[core], operation)
		return nil
	}
}

// killDaemon kills a data daemon.
func killDaemon(number int) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		daemon := run.DataDaemons()[number]
		run.recordFault(daemon.Name+" killed", daemon, true, daemonGracePeriod)
		daemon.Kill()
		return nil
	}
}

// startDaemon restarts a killed data daemon.
func startDaemon(number int) Action {
	return func(ctx context.Context, run *ScenarioRun) error { return run.DataDaemons()[number].Start(ctx) }
}

// freezeDaemon freezes a data daemon and records a fault that lasts for a fraction of the load's duration.
func freezeDaemon(number int, fraction float64) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		daemon := run.DataDaemons()[number]
		run.recordFault(daemon.Name+" frozen", daemon, true, run.wholeSecondsOf(fraction))
		daemon.Freeze()
		return nil
	}
}

// resumeDaemon continues a frozen data daemon.
func resumeDaemon(number int) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		run.DataDaemons()[number].Resume()
		return nil
	}
}

// startCore restarts a control machine's process.
func startCore(number int) Action {
	return func(ctx context.Context, run *ScenarioRun) error { return run.Cores()[number].Start(ctx) }
}

// resumeCore continues a frozen control machine's process.
func resumeCore(number int) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		run.Cores()[number].Resume()
		return nil
	}
}

// startRunner starts a new runner at an index.
func startRunner(index int) Action {
	return func(ctx context.Context, run *ScenarioRun) error { return run.Runners.Start(ctx, index) }
}

// crashRunner ends the runner at an index and removes it from the platform's list at once.
func crashRunner(index int) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		run.recordRunnerFault(fmt.Sprintf("runner %d killed", index), run.Runners.At(index), crashGracePeriod, 0)
		run.Runners.Crash(index)
		return nil
	}
}

// makeRunnerUnresponsive makes the runner at an index read requests without responding, until it is removed.
func makeRunnerUnresponsive(index int) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		runner := run.Runners.At(index)
		run.recordRunnerFault(fmt.Sprintf("runner %d goes dark", index), runner, run.loadDuration, maximumDetectionTime)
		runner.Faults.Unresponsive.Store(true)
		return nil
	}
}

// removeRunner ends a runner whose fault is already recorded.
func removeRunner(index int) Action {
	return func(_ context.Context, run *ScenarioRun) error {
		run.Runners.Crash(index)
		return nil
	}
}
