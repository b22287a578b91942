package fleet

import (
	"context"
	"fmt"
	"time"
)

const (
	// unresponsiveBound is how long a loss of which nobody says anything may take to be known.
	unresponsiveBound = 4 * time.Second
	// crashExcuse is for how long what a runner's crash breaks is excused.
	crashExcuse = time.Second
	// daemonExcuse and coreExcuse are for how long what the end of a process breaks is excused.
	daemonExcuse = 2 * time.Second
	coreExcuse   = 5 * time.Second
)

// scaleLoad lets clients send so many times the usual requests.
func scaleLoad(factor float64) Action {
	return func(_ context.Context, stage *Stage) error {
		stage.rate.scale(factor)
		return nil
	}
}

// change applies a change through a core, whatever becomes of it.
func change(core int, operation string) Action {
	return func(ctx context.Context, stage *Stage) error {
		stage.change(ctx, stage.Cores()[core], operation)
		return nil
	}
}

// killDaemon kills a data daemon.
func killDaemon(number int) Action {
	return func(_ context.Context, stage *Stage) error {
		daemon := stage.DataDaemons()[number]
		stage.recordFault(daemon.Name+" killed", daemon, true, daemonExcuse)
		daemon.Kill()
		return nil
	}
}

// startDaemon starts a data daemon again.
func startDaemon(number int) Action {
	return func(ctx context.Context, stage *Stage) error { return stage.DataDaemons()[number].Start(ctx) }
}

// freezeDaemon freezes a data daemon for a part of the load's length.
func freezeDaemon(number int, part float64) Action {
	return func(_ context.Context, stage *Stage) error {
		daemon := stage.DataDaemons()[number]
		stage.recordFault(daemon.Name+" frozen", daemon, true, stage.wholeSeconds(part))
		daemon.Freeze()
		return nil
	}
}

// resumeDaemon continues a frozen data daemon.
func resumeDaemon(number int) Action {
	return func(_ context.Context, stage *Stage) error {
		stage.DataDaemons()[number].Resume()
		return nil
	}
}

// startCore starts a control machine's process again.
func startCore(number int) Action {
	return func(ctx context.Context, stage *Stage) error { return stage.Cores()[number].Start(ctx) }
}

// resumeCore continues a frozen control machine's process.
func resumeCore(number int) Action {
	return func(_ context.Context, stage *Stage) error {
		stage.Cores()[number].Resume()
		return nil
	}
}

// startRunner starts a new runner in a place.
func startRunner(place int) Action {
	return func(ctx context.Context, stage *Stage) error { return stage.Runners.Start(ctx, place) }
}

// crashRunner ends the runner in a place; the platform notices at once.
func crashRunner(place int) Action {
	return func(_ context.Context, stage *Stage) error {
		stage.recordRunnerFault(fmt.Sprintf("runner %d killed", place), stage.Runners.At(place), crashExcuse, 0)
		stage.Runners.Crash(place)
		return nil
	}
}

// silenceRunner lets the runner in a place read requests and never respond, until it is removed.
func silenceRunner(place int) Action {
	return func(_ context.Context, stage *Stage) error {
		runner := stage.Runners.At(place)
		stage.recordRunnerFault(fmt.Sprintf("runner %d goes dark", place), runner, stage.length, unresponsiveBound)
		runner.Faults.Unresponsive.Store(true)
		return nil
	}
}

// removeRunner ends a runner whose fault was recorded before.
func removeRunner(place int) Action {
	return func(_ context.Context, stage *Stage) error {
		stage.Runners.Crash(place)
		return nil
	}
}
