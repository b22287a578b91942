package scheduler

import "wardtray/apierror"

// AttemptOutcome is the outcome of an attempt that did not succeed.
type AttemptOutcome string

// The outcomes of an attempt.
const (
	// NotSent means that the request was not sent completely, so no runner can have executed it.
	NotSent AttemptOutcome = "not sent"
	// NotExecuted means that the runner rejected the request explicitly, before it began to execute it.
	NotExecuted AttemptOutcome = "put back"
	// Ambiguous means that the request was sent and no part of a response was relayed: it may have been executed.
	Ambiguous AttemptOutcome = "doubt"
	// Broken means that the response ended early, after part of it was relayed.
	Broken AttemptOutcome = "broken"
)

// The values of RetryDecision.Execution.
const (
	// DidNotRun means that no runner executed the request.
	DidNotRun = "did not run"
	// Unknown means that a runner may have executed the request.
	Unknown = "unknown"
)

// RetryDecision is the decision after an attempt that did not succeed.
type RetryDecision struct {
	// Retry allows another attempt.
	Retry bool
	// ErrorCode is the error code to respond with if there is no other attempt.
	ErrorCode apierror.Code
	// Execution is the statement of that response about the execution of the request: DidNotRun or Unknown.
	Execution string
}

// retryCase is the input of a retry decision.
type retryCase struct {
	outcome AttemptOutcome
	// idempotent reports whether the route's requests may be executed more than once.
	idempotent bool
}

// retryPolicy holds the decision for every case. A request of a route that is not idempotent is never sent again once
// it may have been executed, and no request is sent again once part of its response was relayed. Every retry is charged
// to the retry budget by the proxy, whatever the case.
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

// DecideRetry returns the decision after an attempt with this outcome.
func DecideRetry(outcome AttemptOutcome, idempotent bool) RetryDecision {
	return retryPolicy[retryCase{outcome, idempotent}]
}
