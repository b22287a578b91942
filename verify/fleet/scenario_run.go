package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
)

// ScenarioRun is the execution of a scenario on a fleet under load.
type ScenarioRun struct {
	*Fleet
	// loadDuration is the planned duration of the load, which begins at started.
	loadDuration time.Duration
	started      time.Time
	rate         *requestRate
	// background tracks actions that continue during the following steps.
	background sync.WaitGroup
}

// execute performs the steps one after the other, each at its time or as soon as the previous one ends.
func (run *ScenarioRun) execute(ctx context.Context, steps []Step) error {
	for _, step := range steps {
		if err := sleepUntil(ctx, run.started.Add(run.durationOf(step.At))); err != nil {
			return err
		}
		for _, action := range step.Actions {
			if err := action(ctx, run); err != nil {
				return err
			}
		}
	}
	return nil
}

// durationOf returns the duration of a fraction of the load.
func (run *ScenarioRun) durationOf(fraction float64) time.Duration {
	return time.Duration(fraction * float64(run.loadDuration))
}

// wholeSecondsOf returns the duration of a fraction of the load, rounded down to seconds.
func (run *ScenarioRun) wholeSecondsOf(fraction float64) time.Duration {
	return run.durationOf(fraction).Truncate(time.Second)
}

// loadEnd returns the time at which the load may end: after its planned duration, and not within
// histories.RecoveryBound of a restart of all processes, since only requests show whether the service recovers in time.
func (run *ScenarioRun) loadEnd() time.Time {
	duration := run.loadDuration
	run.History.Change(func(history *histories.History) {
		for _, end := range history.OutageEnds {
			needed := end.At.Add(histories.RecoveryBound).Sub(run.started)
			// Rounded up to seconds.
			duration = max(duration, (needed + time.Second - 1).Truncate(time.Second))
		}
	})
	return run.started.Add(duration)
}

// epoch returns the epoch of the committed configuration, read through the first control machine that responds, or 0 if
// none does.
func (run *ScenarioRun) epoch(ctx context.Context) uint64 {
	for _, core := range run.Cores() {
		if reply, err := run.Operator.Get(ctx, core); err == nil {
			return reply.Epoch
		}
	}
	return 0
}

// change applies the deployment's configuration with a marker route through a control machine, based on the committed
// epoch.
func (run *ScenarioRun) change(ctx context.Context, core *Process, operation string) *histories.OperatorRequest {
	return run.apply(ctx, core, operation, run.epoch(ctx), "lane-"+operation)
}

// restartAll kills all processes, starts them again and records their return.
func (run *ScenarioRun) restartAll(ctx context.Context, description string) error {
	const gracePeriod = 5 * time.Second
	if err := run.restartEach(ctx, run.Processes(), description, gracePeriod); err != nil {
		return err
	}
	end := histories.OutageEnd{At: time.Now()}
	run.History.Change(func(history *histories.History) { history.OutageEnds = append(history.OutageEnds, end) })
	return nil
}

// restartEach kills processes and starts them again. Failures that this causes are tolerated for gracePeriod.
func (run *ScenarioRun) restartEach(
	ctx context.Context, processes []*Process, description string, gracePeriod time.Duration,
) error {
	for _, process := range processes {
		run.recordFault(fmt.Sprintf("%s %s", process.Name, description), process, true, gracePeriod)
	}
	killAll(processes)
	return startAll(ctx, processes)
}

// isAccepted reports whether a change was accepted.
func isAccepted(request *histories.OperatorRequest) bool {
	return request.Outcome == proposal.OutcomeAccepted
}

// requestRate is the clients' rate, in requests a second. It is safe for concurrent use.
type requestRate struct {
	mutex        sync.Mutex
	base, factor float64
}

func newRequestRate(base float64) *requestRate { return &requestRate{base: base, factor: 1} }

// scale sets the rate to a multiple of its base.
func (rate *requestRate) scale(factor float64) {
	rate.mutex.Lock()
	defer rate.mutex.Unlock()
	rate.factor = factor
}

// current returns the current rate, in requests a second.
func (rate *requestRate) current() float64 {
	rate.mutex.Lock()
	defer rate.mutex.Unlock()
	return rate.base * rate.factor
}
