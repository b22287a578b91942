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
	// startTimeout is how long a fleet may take to come up, and to answer at the end. A slow machine may take its time;
	// the bounds of the rules are measured elsewhere.
	startTimeout = time.Minute
	// warmUpTime is when the load begins, after the start. The brief's traffic begins about ten seconds after the
	// machines, when runners are warm and daemons known to be ready.
	warmUpTime = 6 * time.Second
	// firstEpoch is the epoch of the first configuration.
	firstEpoch = 1
	// capacityInterval is how often the runners' capacity is recorded.
	capacityInterval = 100 * time.Millisecond
)

// Options say how a proof runs.
type Options struct {
	// Binaries is the folder of wtdata and wtcore.
	Binaries string
	// Folder is where settings, data and logs go. Default: a temporary folder, which is removed unless Keep is set.
	Folder string
	Keep   bool
	// Seconds is how long the load lasts.
	Seconds int
	// Seed is that of the requests and of the platform's choices.
	Seed int64
	// Rate is how many requests clients send in a second. Default: that of the deployment.
	Rate float64
	// Output is where the report goes.
	Output io.Writer
	// RecordFile is where the history of operators and clients goes, as JSON. Default: nowhere.
	RecordFile string
	// Timeless judges only by the rules that a slow machine can't break.
	Timeless bool
}

// Prove runs one scenario on one deployment, prints a report, and reports whether every rule held. The error is one
// that kept the proof from its end, such as a context that ended.
func Prove(ctx context.Context, deployment Deployment, scenario Scenario, options Options) (clean bool, err error) {
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
		// The report is printed all the same; an output that takes no more says nothing about the fleet.
		_, _ = fmt.Fprintln(options.Output, "nobody answered for the state at the end")
	} else if err != nil {
		return false, err
	}
	violations := histories.Check(fleet.History)
	if options.Timeless {
		violations = histories.Timeless(violations)
	}
	recording := fleet.Recording()
	if options.RecordFile != "" {
		if err := recording.WriteFile(options.RecordFile); err != nil {
			return false, err
		}
	}
	judged := linearizability.Judge(recording, linearizability.DefaultTimeout)
	violations = append(violations, violationsOf(judged)...)
	report := newReport(fleet.History, fleet.Runners.CacheShare(), violations)
	report.Judged = judged
	report.Print(options.Output)
	return report.Clean(), nil
}

// workFolder returns the folder for settings, data and logs, and the function that removes it if it is temporary.
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
		// A temporary folder that stays behind does no harm.
		_ = os.RemoveAll(folder)
	}, nil
}

// bringUp starts everything, waits for the first view, applies the first configuration and lets runners warm up.
func (fleet *Fleet) bringUp(ctx context.Context, output io.Writer) error {
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	started := time.Now()
	if err := waitFor(ctx, startTimeout, func() bool {
		_, err := fleet.Operator.Get(ctx, fleet.Cores()[0])
		return err == nil
	}); err != nil {
		return fmt.Errorf("the control plane gave no first view within %v; logs are in %s: %w",
			startTimeout, fleet.folder, err)
	}
	var first *histories.Order
	if err := waitFor(ctx, startTimeout, func() bool {
		first = fleet.apply(ctx, fleet.lastCore(), "first", 0, "")
		return first.Outcome != proposal.OutcomeUnknown
	}); err != nil || !isAccepted(first) {
		return errors.Join(err, &NotAcceptedError{first})
	}
	// A note on the way; the report follows.
	_, _ = fmt.Fprintf(output, "%s: %d machines, %d disks, %d runners; first spec in effect %v after the start\n",
		fleet.Deployment.Name, len(fleet.Machines), len(fleet.Cores()), fleet.Deployment.Runners,
		time.Since(started).Round(time.Millisecond))
	return sleepUntil(ctx, started.Add(warmUpTime))
}

// runScenario sends the deployment's mix of requests while the scenario does its harm.
func (fleet *Fleet) runScenario(ctx context.Context, scenario Scenario, options Options) error {
	rate := options.Rate
	if rate == 0 {
		rate = fleet.Deployment.Rate
	}
	stage := &Stage{
		Fleet:   fleet,
		length:  time.Duration(options.Seconds) * time.Second,
		started: time.Now(),
		rate:    newRequestRate(rate),
	}
	deployment := fleet.Deployment
	clients := loadtest.New(deployment.Mix, deployment.ZoneNames(), fleet.Platform.Pick, fleet.History, options.Seed)
	clients.Hot, clients.HangUps, clients.Resends = scenario.Hot, scenario.Leaves, scenario.Resends
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	load.Go(func() { clients.Run(loadContext, stage.rate.current) })
	load.Go(func() { fleet.sampleCapacity(loadContext) })
	err := stage.play(ctx, scenario.stepsFor(deployment))
	if err == nil {
		err = sleepUntil(ctx, stage.loadEnd())
	}
	stopLoad()
	load.Wait()
	stage.background.Wait()
	return err
}

// sampleCapacity records how much the runners can truly do, until the context ends.
func (fleet *Fleet) sampleCapacity(ctx context.Context) {
	for sleep(ctx, capacityInterval) == nil {
		sample := fleet.Runners.Capacity()
		fleet.History.Change(func(history *histories.History) {
			history.CapacitySamples = append(history.CapacitySamples, sample)
		})
	}
}

// readFinalState asks the cores for the state at the end until one has answered, and records it.
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
