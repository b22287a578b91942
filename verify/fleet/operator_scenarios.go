package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
)

// concurrentChanges makes two operators send changes through different control machines without pauses.
var concurrentChanges = steps(at(0, func(ctx context.Context, run *ScenarioRun) error {
	const operators, changes, share = 2, 400, 0.9
	until := run.started.Add(run.wholeSecondsOf(share))
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			for number := 0; time.Now().Before(until) && number < changes && ctx.Err() == nil; number++ {
				run.change(ctx, run.Cores()[operator], fmt.Sprintf("storm-%d-%d", operator, number))
			}
		})
	}
	running.Wait()
	return ctx.Err()
}))

// manyRoutes applies a configuration of 5000 additional routes, which must be accepted, and later a small one.
func manyRoutes(deployment Deployment) []Step {
	const count = 5000
	grow := func(ctx context.Context, run *ScenarioRun) error {
		markers := make([]string, 0, count)
		for number := range count {
			markers = append(markers, fmt.Sprintf("route-%d", number))
		}
		request := &histories.OperatorRequest{
			Operation: "many",
			Base:      run.epoch(ctx),
			Spec:      deployment.Mix.Spec(deployment.ZoneNames(), markers...),
		}
		run.Operator.Apply(ctx, run.Cores()[1], request)
		if !isAccepted(request) {
			return &NotAcceptedError{request}
		}
		return nil
	}
	return []Step{at(0.2, grow), at(0.6, change(0, "few-again"))}
}

// zonesClosed closes and opens every zone, one after the other, each through a different control machine.
func zonesClosed(deployment Deployment) []Step {
	const begin, share, closed = 0.05, 0.9, 0.8
	steps := make([]Step, 0, 2*len(deployment.Zones))
	count := float64(len(deployment.Zones))
	for index, zone := range deployment.ZoneNames() {
		fraction := begin + share*float64(index)/count
		steps = append(steps,
			at(fraction, changeZone(index, "close-"+zone, proposal.VerbClose, zone)),
			at(fraction+closed/count, changeZone(index, "open-"+zone, proposal.VerbOpen, zone)),
		)
	}
	return steps
}

// changeZone closes or opens a zone through a control machine and ignores the outcome.
func changeZone(core int, operation, verb, zone string) Action {
	return func(ctx context.Context, run *ScenarioRun) error {
		run.Operator.Zone(ctx, run.Cores()[core], operation, verb, zone)
		return nil
	}
}
