package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
)

// storm has two operators send changes as fast as they can.
var storm = steps(at(0, func(ctx context.Context, stage *Stage) error {
	const operators, changes, share = 2, 400, 0.9
	until := stage.started.Add(stage.wholeSeconds(share))
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			for number := 0; time.Now().Before(until) && number < changes && ctx.Err() == nil; number++ {
				stage.change(ctx, stage.Cores()[operator], fmt.Sprintf("storm-%d-%d", operator, number))
			}
		})
	}
	running.Wait()
	return ctx.Err()
}))

// manyRoutes applies a very large configuration, which must be accepted.
func manyRoutes(deployment Deployment) []Step {
	const count = 5000
	grow := func(ctx context.Context, stage *Stage) error {
		markers := make([]string, 0, count)
		for number := range count {
			markers = append(markers, fmt.Sprintf("route-%d", number))
		}
		order := &histories.Order{
			Operation: "many",
			Base:      stage.epoch(ctx),
			Spec:      deployment.Mix.Spec(deployment.ZoneNames(), markers...),
		}
		stage.Operator.Apply(ctx, stage.Cores()[1], order)
		if !isAccepted(order) {
			return &NotAcceptedError{order}
		}
		return nil
	}
	return []Step{at(0.2, grow), at(0.6, change(0, "few-again"))}
}

// zonesClosed closes and opens every zone, one after the other, each through a core of its own.
func zonesClosed(deployment Deployment) []Step {
	const begin, share, closed = 0.05, 0.9, 0.8
	steps := make([]Step, 0, 2*len(deployment.Zones))
	count := float64(len(deployment.Zones))
	for index, zone := range deployment.ZoneNames() {
		part := begin + share*float64(index)/count
		steps = append(steps,
			at(part, changeZone(index, "close-"+zone, proposal.VerbClose, zone)),
			at(part+closed/count, changeZone(index, "open-"+zone, proposal.VerbOpen, zone)),
		)
	}
	return steps
}

// changeZone closes or opens a zone through a core, whatever becomes of it.
func changeZone(core int, operation, verb, zone string) Action {
	return func(ctx context.Context, stage *Stage) error {
		stage.Operator.Zone(ctx, stage.Cores()[core], operation, verb, zone)
		return nil
	}
}
