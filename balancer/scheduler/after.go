package scheduler

import "wardtray/apierror"

// End names how an attempt at a run ended.
type End string

// The ends of an attempt.
const (
	// NotSent: no byte of the request went out.
	NotSent End = "not sent"
	// PutBack: the runner said in so many words that it did not start.
	PutBack End = "put back"
	// Doubt: the request went out and nothing of an answer was relayed.
	Doubt End = "doubt"
	// Broken: part of the answer was relayed already.
	Broken End = "broken"
)

// Verdict is what may follow.
type Verdict struct {
	// Again allows another attempt; Spends says that it must come out of the repeat budget.
	Again, Spends bool
	// Otherwise is the fault to tell if there is no other attempt; Ran tells whether it may have run.
	Otherwise apierror.Kind
	Ran       string
}

// What a refusal says of the work.
const (
	DidNotRun = "did not run"
	Unknown   = "unknown"
)

type ending struct {
	end        End
	repeatable bool
}

// verdicts is the whole rule of repeats. A lane that is not repeatable is never passed again once
// its request may have started; nobody's is once an event was relayed.
var verdicts = map[ending]Verdict{
	{NotSent, false}: {Again: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{NotSent, true}:  {Again: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{PutBack, false}: {Again: true, Spends: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{PutBack, true}:  {Again: true, Spends: true, Otherwise: apierror.NoRunner, Ran: DidNotRun},
	{Doubt, false}:   {Otherwise: apierror.OutcomeUnknown, Ran: Unknown},
	{Doubt, true}:    {Again: true, Spends: true, Otherwise: apierror.OutcomeUnknown, Ran: Unknown},
	{Broken, false}:  {Otherwise: apierror.RunFailed, Ran: Unknown},
	{Broken, true}:   {Otherwise: apierror.RunFailed, Ran: Unknown},
}

// After gives what may follow an attempt that ended without success.
func After(end End, repeatable bool) Verdict { return verdicts[ending{end, repeatable}] }
