package linearizability

import (
	"net/http"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
)

// Observed is what an answer to an operator's call has.
type Observed struct {
	// Kind is the call's, HasBase says that it is a change which names one.
	Kind    string
	HasBase bool
	// Status and Outcome are the answer's; both are empty where there was none.
	Status  int
	Outcome string
}

// Answer returns what an answer says of the configuration.
func (observed Observed) Answer() string {
	switch {
	case observed.Status == 0, observed.Outcome == proposal.OutcomeUnknown:
		return AnswerNothing
	case observed.Status == http.StatusServiceUnavailable:
		return AnswerUnavailable
	case observed.Outcome == proposal.OutcomeAccepted, observed.Outcome == proposal.OutcomeFound,
		observed.Outcome == proposal.OutcomeEmpty:
		return AnswerDone
	case observed.Kind != KindChange && observed.Outcome == proposal.OutcomePending:
		return AnswerNothing
	case observed.Status == http.StatusConflict && observed.HasBase:
		return AnswerStale
	default:
		return AnswerRefused
	}
}

// SendingsOf returns the sendings of requests that run at most once, of a history that began at a time.
func SendingsOf(history *histories.History, started time.Time) []Sending {
	runs := map[string]int{}
	for _, run := range history.Runs {
		if run.Started {
			runs[run.Request]++
		}
	}
	var sendings []Sending
	for _, answer := range history.Answers {
		if !answer.Once || !answer.RequestSent {
			continue
		}
		span := Span{Start: answer.Sent.Sub(started), End: answer.Got.Sub(started)}
		if answer.ConnectionLost || answer.Got.IsZero() {
			span.End = Never
		}
		sendings = append(sendings, Sending{Span: span, Request: answer.Request, Number: answer.Attempt,
			Daemon: answer.Daemon, Outcome: outcomeOf(answer), Runs: runs[answer.Request]})
	}
	return sendings
}

// outcomeOf returns what an answer says of its request.
func outcomeOf(answer *histories.Answer) string {
	outcomes := map[string]string{"did not run": OutcomeDidNotRun, "ran": OutcomeRanBefore}
	if answer.Done {
		return OutcomeRan
	}
	if outcome, found := outcomes[answer.Ran]; found {
		return outcome
	}
	return OutcomeUnknown
}
