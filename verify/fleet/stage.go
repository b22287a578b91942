package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
)

// Stage is a fleet under load, for the actions of a scenario.
type Stage struct {
	*Fleet
	// length is how long the load lasts, from started on.
	length  time.Duration
	started time.Time
	rate    *requestRate
	// background are actions that go on beside the following steps.
	background sync.WaitGroup
}

// play does steps one after the other, each at its time or as soon as the one before is done.
func (stage *Stage) play(ctx context.Context, steps []Step) error {
	for _, step := range steps {
		if err := sleepUntil(ctx, stage.started.Add(stage.part(step.At))); err != nil {
			return err
		}
		for _, action := range step.Actions {
			if err := action(ctx, stage); err != nil {
				return err
			}
		}
	}
	return nil
}

// part returns a part of the load's length.
func (stage *Stage) part(part float64) time.Duration {
	return time.Duration(part * float64(stage.length))
}

// wholeSeconds returns a part of the load's length, rounded down to seconds.
func (stage *Stage) wholeSeconds(part float64) time.Duration {
	return stage.part(part).Truncate(time.Second)
}

// loadEnd returns when the load may end: after its length, and not before it shows whether service is back in time
// after each return of all machines, which can only be seen while somebody asks for it.
func (stage *Stage) loadEnd() time.Time {
	length := stage.length
	stage.History.Change(func(history *histories.History) {
		for _, back := range history.Returns {
			needed := back.At.Add(histories.ReturnBound).Sub(stage.started)
			// Rounded up to seconds.
			length = max(length, (needed + time.Second - 1).Truncate(time.Second))
		}
	})
	return stage.started.Add(length)
}

// epoch returns the epoch of the committed configuration, read through any core, or 0.
func (stage *Stage) epoch(ctx context.Context) uint64 {
	for _, core := range stage.Cores() {
		if reply, err := stage.Operator.Get(ctx, core); err == nil {
			return reply.Epoch
		}
	}
	return 0
}

// change applies the deployment's configuration with a marker route through a core, on the epoch that is committed.
func (stage *Stage) change(ctx context.Context, core *Process, operation string) *histories.Order {
	return stage.apply(ctx, core, operation, stage.epoch(ctx), "lane-"+operation)
}

// restartAll kills every process, starts all of them again and records their return.
func (stage *Stage) restartAll(ctx context.Context, what string) error {
	const excused = 5 * time.Second
	if err := stage.restartEach(ctx, stage.Processes(), what, excused); err != nil {
		return err
	}
	back := histories.Return{At: time.Now()}
	stage.History.Change(func(history *histories.History) { history.Returns = append(history.Returns, back) })
	return nil
}

// restartEach kills processes and starts them again; what that breaks is excused for a time.
func (stage *Stage) restartEach(ctx context.Context, processes []*Process, what string, excused time.Duration) error {
	for _, process := range processes {
		stage.recordFault(fmt.Sprintf("%s %s", process.Name, what), process, true, excused)
	}
	killAll(processes)
	return startAll(ctx, processes)
}

// isAccepted reports whether a change was accepted.
func isAccepted(order *histories.Order) bool { return order.Outcome == proposal.OutcomeAccepted }

// requestRate is how many requests clients send in a second. It is safe for concurrent use.
type requestRate struct {
	mutex        sync.Mutex
	base, factor float64
}

func newRequestRate(base float64) *requestRate { return &requestRate{base: base, factor: 1} }

// scale makes the rate so many times its base.
func (rate *requestRate) scale(factor float64) {
	rate.mutex.Lock()
	defer rate.mutex.Unlock()
	rate.factor = factor
}

// current returns the rate.
func (rate *requestRate) current() float64 {
	rate.mutex.Lock()
	defer rate.mutex.Unlock()
	return rate.base * rate.factor
}
