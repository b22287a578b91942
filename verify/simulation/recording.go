package simulation

import (
	"net/http"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

// judgeTimeout is for how long an order that explains a history is looked for.
const judgeTimeout = time.Minute

// judge has the history of the world's callers judged, where nothing else is wrong with it yet.
func (checker *Checker) judge() {
	if len(checker.Violations) > 0 {
		return
	}
	checker.Verdict = linearizability.Judge(checker.world.Recording(), judgeTimeout)
	for _, part := range checker.Verdict.Broken {
		checker.report("not-linearizable: no order explains the history of the %s", part)
	}
	for _, part := range checker.Verdict.Undecided {
		checker.report("not-linearizable: the history of the %s was not decided in %v", part, judgeTimeout)
	}
}

// Recording returns what the world's callers have seen.
func (world *World) Recording() linearizability.Recording {
	recording := linearizability.Recording{Known: world.Check.outcomes.committed}
	for number, order := range world.Check.Orders {
		recording.Calls = append(recording.Calls, world.recordCall(number, order))
	}
	if world.Traffic != nil {
		recording.Sendings = world.Traffic.recordSendings()
	}
	return recording
}

// since returns a moment as a recording has it.
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
		HasBase: order.HasBase, Epoch: order.AskedEpoch, HasEpoch: order.HasEpoch, Answer: order.answer(),
		Result: order.Epoch,
	}
	switch order.Verb {
	case proposal.VerbGet:
		call.Kind = linearizability.KindRead
	case proposal.VerbOperation:
		call.Kind = linearizability.KindLookup
	}
	return call
}

// answer returns what an order's answer says of the configuration.
func (order *Order) answer() string {
	isRead := order.Verb == proposal.VerbGet || order.Verb == proposal.VerbOperation
	switch {
	case order.Got.IsZero() || order.Outcome == proposal.OutcomeUnknown:
		return linearizability.AnswerNothing
	case order.Status == http.StatusServiceUnavailable:
		return linearizability.AnswerUnavailable
	case order.Outcome == proposal.OutcomeAccepted, order.Outcome == proposal.OutcomeFound,
		order.Outcome == proposal.OutcomeEmpty:
		return linearizability.AnswerDone
	case isRead && order.Outcome == proposal.OutcomePending:
		return linearizability.AnswerNothing
	case order.Status == http.StatusConflict && order.HasBase:
		return linearizability.AnswerStale
	default:
		return linearizability.AnswerRefused
	}
}

// recordSendings returns the sendings of requests that run at most once.
func (traffic *Traffic) recordSendings() []linearizability.Sending {
	runs := map[string]int{}
	for _, run := range traffic.History.Runs {
		if run.Started {
			runs[run.Request]++
		}
	}
	var sendings []linearizability.Sending
	for _, answer := range traffic.History.Answers {
		if !answer.Once || !answer.RequestSent {
			continue
		}
		end := traffic.world.since(answer.Got)
		if answer.ConnectionLost {
			end = linearizability.Never
		}
		sendings = append(sendings, linearizability.Sending{
			Span:    linearizability.Span{Start: traffic.world.since(answer.Sent), End: end},
			Request: answer.Request, Number: answer.Attempt, Daemon: answer.Daemon, Outcome: outcomeOf(answer),
			Runs: runs[answer.Request],
		})
	}
	return sendings
}

// outcomeOf returns what an answer says of its request.
func outcomeOf(answer *histories.Answer) string {
	outcomes := map[string]string{"did not run": linearizability.OutcomeDidNotRun, "ran": linearizability.OutcomeRanBefore}
	if answer.Done {
		return linearizability.OutcomeRan
	}
	if outcome, found := outcomes[answer.Ran]; found {
		return outcome
	}
	return linearizability.OutcomeUnknown
}
