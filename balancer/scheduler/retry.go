package scheduler

import "wardtray/apierror"

// AttemptOutcome is how an attempt ended that did not succeed.
type AttemptOutcome string

// The outcomes of an attempt.
const (
	// NotSent means that the request did not go out completely, so that no runner can have executed it.
	NotSent AttemptOutcome = "not sent"
	// NotExecuted means that the runner rejected the request explicitly, before it began to execute it.
	NotExecuted AttemptOutcome = "put back"
	// Ambiguous means that the request went out and nothing of a response was relayed: it may have been executed.
	Ambiguous AttemptOutcome = "doubt"
	// Broken means that part of the response was relayed already.
	Broken AttemptOutcome = "broken"
)

// What an error response says of the execution of the request.
const (
	DidNotRun = "did not run"
	Unknown   = "unknown"
)

// RetryDecision is what may follow an attempt that did not succeed.
type RetryDecision struct {
	// Retry allows another attempt.
	Retry bool
	// ErrorCode is the error to respond with if there is no other attempt.
	ErrorCode apierror.Code
	// Execution is what that response says of the execution: DidNotRun or Unknown.
	Execution string
}

// retryCase is what a retry decision depends on.
type retryCase struct {
	outcome AttemptOutcome
	// idempotent is whether the route's requests may be executed more than once.
	idempotent bool
}

// retryPolicy is the decision for every case. The request of a route that is not idempotent is never sent again once it
// may have been executed, and no request once part of its response was relayed. Whether a retry
// comes out of the retry budget does not depend on the case: the proxy takes every further send out of it.
var retryPolicy = map[retryCase]RetryDecision{
	{NotSent, false}: {Retry: true, ErrorCode: apierror.NoRunner, Execution: DidNotRun},
	{NotSent, true}:  {Retry: true, ErrorCode: apierror.NoRunner, Execution: DidNotRun},

	{NotExecuted, false}: {Retry: true, ErrorCode: apierror.NoRunner, Execution: DidNotRun},
	{NotExecuted, true}:  {Retry: true, ErrorCode: apierror.NoRunner, Execution: DidNotRun},

	{Ambiguous, false}: {ErrorCode: apierror.OutcomeUnknown, Execution: Unknown},
	{Ambiguous, true}:  {Retry: true, ErrorCode: apierror.OutcomeUnknown, Execution: Unknown},

	{Broken, false}: {ErrorCode: apierror.RunFailed, Execution: Unknown},
	{Broken, true}:  {ErrorCode: apierror.RunFailed, Execution: Unknown},
}

// DecideRetry returns what may follow an attempt that ended with this outcome.
func DecideRetry(outcome AttemptOutcome, idempotent bool) RetryDecision {
	return retryPolicy[retryCase{outcome, idempotent}]
}
