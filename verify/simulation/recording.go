package simulation

import (
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/linearizability"
)

// checkHistory checks the linearizability of the callers' history, if no other rule is violated yet.
func (checker *Checker) checkHistory() {
	if len(checker.Violations) > 0 {
		return
	}
	checker.Verdict = linearizability.Check(checker.world.Recording(), linearizability.DefaultTimeout)
	for _, flaw := range checker.Verdict.Flaws() {
		checker.report("not-linearizable: %s", flaw)
	}
}

// Recording returns the history of the world's callers.
func (world *World) Recording() linearizability.Recording {
	recording := linearizability.Recording{Known: world.Check.outcomes.committed}
	for number, order := range world.Check.Orders {
		recording.Calls = append(recording.Calls, world.recordCall(number, order))
	}
	if world.Traffic != nil {
		recording.ClientAttempts = linearizability.ClientAttemptsOf(world.Traffic.History, world.started)
	}
	return recording
}

// since returns the time of a moment since the start; linearizability.Never for the zero time.
func (world *World) since(moment time.Time) time.Duration {
	if moment.IsZero() {
		return linearizability.Never
	}
	return moment.Sub(world.started)
}

func (world *World) recordCall(number int, order *Order) linearizability.Call {
	call := linearizability.Call{
		Span:   linearizability.Span{Start: world.since(order.Sent), End: world.since(order.Got)},
		Caller: number, Kind: linearizability.KindChange, Operation: order.Operation, Base: order.Base,
		HasBase: order.HasBase, Epoch: order.AskedEpoch, HasEpoch: order.HasEpoch, Result: order.Epoch,
	}
	switch order.Verb {
	case proposal.VerbGet:
		call.Kind = linearizability.KindRead
	case proposal.VerbOperation:
		call.Kind = linearizability.KindLookup
	}
	observed := linearizability.Observed{Kind: call.Kind, HasBase: call.HasBase, Status: order.Status,
		Outcome: order.Outcome}
	call.Answer = observed.Answer()
	return call
}
