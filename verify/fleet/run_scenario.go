package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
	"wardtray/verify/loadtest"
)

const (
	// startTimeout is the timeout for the start of a fleet and for reading the final state. It allows for slow machines:
	// the rules check the required times.
	startTimeout = time.Minute
	// warmUpTime is the time from the start to the beginning of the load. In the specified deployments, traffic begins
	// about ten seconds after the machines start, when runners are warm and data daemons are known to be ready.
	warmUpTime = 6 * time.Second
	// firstEpoch is the epoch of the initial configuration.
	firstEpoch = 1
	// capacityInterval is the sampling interval of the runners' capacity.
	capacityInterval = 100 * time.Millisecond
)

// Options configures RunScenario.
type Options struct {
	// Binaries is the folder of wtdata and wtcore.
	Binaries string
	// Folder receives settings, data and logs. Default: a temporary folder, which is removed unless Keep is set.
	Folder string
	Keep   bool
	// Seconds is the duration of the load, in seconds. The load lasts longer if the check of the recovery after a restart
	// of all processes needs it.
	Seconds int
	// Seed is the seed of the requests and of the platform's random choices.
	Seed int64
	// Rate is the clients' base rate, in requests a second. Default: the deployment's rate.
	Rate float64
	// Output receives the report.
	Output io.Writer
	// RecordFile is the path to which the history of operators and clients is written, as JSON. Default: not written.
	RecordFile string
	// IgnoreTiming restricts the check to the rules that a slow machine can't violate.
	IgnoreTiming bool
}

// RunScenario runs one scenario on one deployment, prints a report, and reports whether every rule held. It returns an
// error if the run could not be completed, for example because the context was cancelled.
func RunScenario(ctx context.Context, deployment Deployment, scenario Scenario,
	options Options) (clean bool, err error) {
	folder, remove, err := options.workFolder()
	if err != nil {
		return false, err
	}
	defer remove()
	fleet, err := New(ctx, deployment, folder, options.Binaries, options.Seed)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.bringUp(ctx, options.Output); err != nil {
		return false, err
	}
	if err := fleet.runScenario(ctx, scenario, options); err != nil {
		return false, err
	}
	if err := fleet.readFinalState(ctx); errors.Is(err, ErrTimeout) {
		// The report is printed nevertheless. An error of the output is irrelevant to the result.
		_, _ = fmt.Fprintln(options.Output, "nobody answered for the state at the end")
	} else if err != nil {
		return false, err
	}
	violations := histories.Check(fleet.History)
	if options.IgnoreTiming {
		violations = histories.ExcludeTimed(violations)
	}
	recording := fleet.Recording()
	if options.RecordFile != "" {
		if err := recording.WriteFile(options.RecordFile); err != nil {
			return false, err
		}
	}
	verdict := linearizability.Check(recording, linearizability.DefaultTimeout)
	violations = append(violations, violationsOf(verdict)...)
	report := newReport(fleet.History, fleet.Runners.CacheShare(), violations)
	report.Linearizability = verdict
	report.Print(options.Output)
	return report.Clean(), nil
}

// workFolder returns the folder for settings, data and logs, and a function that removes it if it is temporary.
func (options Options) workFolder() (folder string, remove func(), err error) {
	keep := func() {}
	if options.Folder != "" {
		return options.Folder, keep, nil
	}
	folder, err = os.MkdirTemp("", "wtverify-")
	if err != nil || options.Keep {
		return folder, keep, err
	}
	return folder, func() {
		// A temporary folder that can't be removed does no harm.
		_ = os.RemoveAll(folder)
	}, nil
}

// bringUp starts the fleet, waits for the first view, applies the initial configuration and waits until the runners are
// warm.
func (fleet *Fleet) bringUp(ctx context.Context, output io.Writer) error {
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	started := time.Now()
	if err := waitFor(ctx, startTimeout, func() bool {
		_, err := fleet.Operator.Get(ctx, fleet.Cores()[0])
		return err == nil
	}); err != nil {
		return fmt.Errorf("the control plane has no view %v after the start; logs are in %s: %w",
			startTimeout, fleet.folder, err)
	}
	var first *histories.OperatorRequest
	if err := waitFor(ctx, startTimeout, func() bool {
		first = fleet.apply(ctx, fleet.lastCore(), "first", 0, "")
		return first.Outcome != proposal.OutcomeUnknown
	}); err != nil || !isAccepted(first) {
		return errors.Join(err, &NotAcceptedError{first})
	}
	// An error of the output is irrelevant to the result.
	_, _ = fmt.Fprintf(output, "%s: %d machines, %d disks, %d runners; first spec in effect %v after the start\n",
		fleet.Deployment.Name, len(fleet.Machines), len(fleet.Cores()), fleet.Deployment.Runners,
		time.Since(started).Round(time.Millisecond))
	return sleepUntil(ctx, started.Add(warmUpTime))
}

// runScenario sends the deployment's mix of requests while it executes the steps of the scenario.
func (fleet *Fleet) runScenario(ctx context.Context, scenario Scenario, options Options) error {
	rate := options.Rate
	if rate == 0 {
		rate = fleet.Deployment.Rate
	}
	run := &ScenarioRun{
		Fleet:        fleet,
		loadDuration: time.Duration(options.Seconds) * time.Second,
		started:      time.Now(),
		rate:         newRequestRate(rate),
	}
	deployment := fleet.Deployment
	clients := loadtest.New(deployment.Mix, deployment.ZoneNames(), fleet.Platform.Pick, fleet.History, options.Seed)
	clients.HotShare, clients.DisconnectShare, clients.RetryShare =
		scenario.HotShare, scenario.DisconnectShare, scenario.RetryShare
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	load.Go(func() { clients.Run(loadContext, run.rate.current) })
	load.Go(func() { fleet.sampleCapacity(loadContext) })
	err := run.execute(ctx, scenario.stepsFor(deployment))
	if err == nil {
		err = sleepUntil(ctx, run.loadEnd())
	}
	stopLoad()
	load.Wait()
	run.background.Wait()
	return err
}

// sampleCapacity records the runners' actual capacity periodically until the context is cancelled.
func (fleet *Fleet) sampleCapacity(ctx context.Context) {
	for sleep(ctx, capacityInterval) == nil {
		sample := fleet.Runners.Capacity()
		fleet.History.Change(func(history *histories.History) {
			history.CapacitySamples = append(history.CapacitySamples, sample)
		})
	}
}

// readFinalState reads the state at the end of the run from the first control machine that returns it, and records it.
// It returns ErrTimeout if none does within startTimeout.
func (fleet *Fleet) readFinalState(ctx context.Context) error {
	return waitFor(ctx, startTimeout, func() bool {
		for _, core := range fleet.Cores() {
			final, err := fleet.Operator.FinalState(ctx, core)
			if err != nil {
				continue
			}
			fleet.History.Change(func(history *histories.History) { history.Final = final })
			return true
		}
		return false
	})
}
