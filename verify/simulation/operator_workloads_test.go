package simulation

import (
	"testing"
	"time"

	"wardtray/control/proposal"
)

// sendsOf returns the number of requests of each verb that a workload sent, and the number of retries.
func sendsOf(orders []*Order) (verbs map[string]int, resent int) {
	verbs = map[string]int{}
	for _, order := range orders {
		verbs[order.Verb]++
		if order.Resent {
			resent++
		}
	}
	return verbs, resent
}

func TestOperatorWorkloadSendsEveryKindOfRequestUntilItStops(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	workload := startOperators(world, 100*time.Millisecond)
	world.Run(20 * time.Second)
	verbs, resent := sendsOf(world.Check.Orders)
	for _, verb := range []string{proposal.VerbGet, proposal.VerbApply, proposal.VerbChange, proposal.VerbClose,
		proposal.VerbOpen} {
		if verbs[verb] == 0 {
			t.Errorf("no %s was sent; %v", verb, verbs)
		}
	}
	if resent == 0 || len(world.Check.outcomes.invalid) == 0 {
		t.Errorf("%d changes sent again, %d invalid changes", resent, len(world.Check.outcomes.invalid))
	}
	workload.Stop()
	world.Run(repeatedWithin)
	sent := len(world.Check.Orders)
	world.Run(5 * time.Second)
	if len(world.Check.Orders) != sent {
		t.Errorf("%d requests after the end", len(world.Check.Orders)-sent)
	}
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
}

func TestOperatorsInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	for index, request := range invalidRequests(0, SpecText(1)) {
		request.Operation = string(rune('a' + index))
		world.Check.outcomes.expectRefusal(request.Operation)
		order := world.Check.Send(world.injector.head(), request)
		world.Run(3 * time.Second)
		if order.Outcome != proposal.OutcomeRefused {
			t.Errorf("invalid change %s %s: outcome %s, status %d", request.Verb, request.Spec, order.Outcome, order.Status)
		}
	}
}

func TestOperatorsRetryUntilAChangeIsAccepted(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	for _, host := range world.Cores() {
		host.Kill()
	}
	newOperators(world, 0).retryChange(world.Now.Add(recoveryBound))
	world.Run(3 * time.Second)
	boot(world.Cores())
	world.Run(recoveryBound)
	accepted := 0
	for _, order := range world.Check.Orders {
		if order.isAccepted() {
			accepted++
		}
	}
	if len(world.Check.Orders) < 3 || accepted != 1 {
		t.Errorf("%d of %d changes accepted, want one after some without an answer", accepted, len(world.Check.Orders))
	}
}

func TestOperatorsReportAChangeWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]bool{"answered": false, "unanswered": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := settledFleet(t)
			if lose {
				for _, host := range world.Cores() {
					host.Kill()
				}
			}
			newOperators(world, 0).sendRequiringAnswers(time.Second, world.Now.Add(3*time.Second))
			world.Run(3*time.Second + acknowledgementBound)
			if reported := len(world.Check.Violations) > 0; reported != lose {
				t.Errorf("violations %v", world.Check.Violations)
			}
		})
	}
}
