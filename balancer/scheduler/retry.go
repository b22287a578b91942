package scheduler

import "wardtray/apierror"

// AttemptOutcome names how an attempt at a run ended.
type AttemptOutcome string

// The ends of an attempt.
const (
	// NotSent: no byte of the request went out.
	NotSent AttemptOutcome = "not sent"
	// NotExecuted: the runner said in so many words that it did not start.
	NotExecuted AttemptOutcome = "put back"
	// Ambiguous: the request went out and nothing of an answer was relayed.
	Ambiguous AttemptOutcome = "doubt"
	// Broken: part of the answer was relayed already.
	Broken AttemptOutcome = "broken"
)

// RetryDecision is what may follow.
type RetryDecision struct {
	// Retry allows another attempt; Spends says that it must come out of the repeat budget.
	Retry, Spends bool
	// Otherwise is the fault to tell if there is no other attempt; Ran tells whether it may have run.
	Otherwise apierror.Code
	Ran       string
}

// What a refusal says of the work.
const (
	DidNotRun = "did not run"
	Unknown   = "unknown"
)

type ending struct {
	end        AttemptOutcome
	idempotent bool
}

// verdicts is the whole rule of repeats. A route that is not repeatable is never passed again once
// its request may have started; nobody's is once an event was relayed.
var verdicts = map[ending]RetryDecision{
	{NotSent, false}:     {Retry: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{NotSent, true}:      {Retry: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{NotExecuted, false}: {Retry: true, Spends: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{NotExecuted, true}:  {Retry: true, Spends: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{Ambiguous, false}:   {Otherwise: apierror.OutcomeUnknown, Ran: Unknown},
	{Ambiguous, true}:    {Retry: true, Spends: true, Otherwise: apierror.OutcomeUnknown, Ran: Unknown},
	{Broken, false}:      {Otherwise: apierror.RunFailed, Ran: Unknown},
	{Broken, true}:       {Otherwise: apierror.RunFailed, Ran: Unknown},
}

// DecideRetry gives what may follow an attempt that ended without success.
func DecideRetry(end AttemptOutcome, idempotent bool) RetryDecision {
	return verdicts[ending{end, idempotent}]
}
