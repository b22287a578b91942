package linearizability

import (
	"net/http"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
)

// Observed is an operator's call with the status and outcome of its response.
type Observed struct {
	// Kind is the kind of the call. HasBase reports whether it is a change that names a base.
	Kind    string
	HasBase bool
	// Status and Outcome are those of the response, zero if there was none.
	Status  int
	Outcome string
}

// Answer classifies what the response states about the configuration.
func (observed Observed) Answer() string {
	switch {
	case observed.Status == 0, observed.Outcome == proposal.OutcomeUnknown:
		return AnswerUnknown
	case observed.Status == http.StatusServiceUnavailable:
		return AnswerUnavailable
	case observed.Outcome == proposal.OutcomeAccepted, observed.Outcome == proposal.OutcomeFound,
		observed.Outcome == proposal.OutcomeEmpty:
		return AnswerDone
	case observed.Kind != KindChange && observed.Outcome == proposal.OutcomePending:
		return AnswerUnknown
	case observed.Status == http.StatusConflict && observed.HasBase:
		return AnswerStale
	default:
		return AnswerRefused
	}
}

// ClientAttemptsOf returns the client attempts of at-most-once requests in a history that began at a time.
func ClientAttemptsOf(history *histories.History, started time.Time) []ClientAttempt {
	runs := map[string]int{}
	for _, run := range history.Runs {
		if run.Started {
			runs[run.Request]++
		}
	}
	var attempts []ClientAttempt
	for _, attempt := range history.Answers {
		if !attempt.AtMostOnce || !attempt.RequestSent {
			continue
		}
		span := Span{Start: attempt.Sent.Sub(started), End: attempt.Got.Sub(started)}
		if attempt.ConnectionLost || attempt.Got.IsZero() {
			span.End = Never
		}
		attempts = append(attempts, ClientAttempt{Span: span, Request: attempt.Request, Number: attempt.Attempt,
			Daemon: attempt.Daemon, Outcome: outcomeOf(attempt), Runs: runs[attempt.Request]})
	}
	return attempts
}

// outcomeOf returns the outcome that a client attempt's response states.
func outcomeOf(attempt *histories.ClientAttempt) string {
	outcomes := map[string]string{"did not run": OutcomeDidNotRun, "ran": OutcomeRanBefore}
	if attempt.Done {
		return OutcomeRan
	}
	if outcome, found := outcomes[attempt.Ran]; found {
		return outcome
	}
	return OutcomeUnknown
}
