package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

// ranCompletely is what a refusal says of a request that ran to completion when it was sent before.
const ranCompletely = "ran"

// earlierRuns are what a refusal says of a request that was sent before, by what is remembered of it.
var earlierRuns = map[dedup.State]string{
	dedup.Ran:            ranCompletely,
	dedup.Running:        scheduler.Unknown,
	dedup.Unknown:        scheduler.Unknown,
	dedup.TakenElsewhere: scheduler.Unknown,
}

// execution is what is known of whether a request has run. It only ever becomes more certain that it may have: once an
// attempt is ambiguous, nothing that follows may say that the request did not run.
type execution struct {
	// earlier is what was remembered of the request when it arrived.
	earlier dedup.State
	// unproven says that an earlier sending of the request may have run, or may yet.
	unproven bool
	// ambiguous says that some attempt may have run.
	ambiguous bool
	// relayed says that a part of the response was forwarded to the client.
	relayed bool
}

// ran is what a refusal says of the work, given what the last attempt alone would have it say.
func (execution *execution) ran(ofAttempt string) string {
	if earlier := earlierRuns[execution.earlier]; earlier != "" {
		return earlier
	}
	// What was relayed did run.
	if execution.unproven || execution.ambiguous || execution.relayed {
		return scheduler.Unknown
	}
	return ofAttempt
}

// refusal returns what a client is told whose request gets no stream, or no more of one. The code, the detail, what the
// last attempt says of the work and the time after which another try may succeed are those of the last attempt.
func (execution *execution) refusal(code apierror.Code, detail, ofAttempt string, retry time.Duration) *codec.Refusal {
	ran := execution.ran(ofAttempt)
	// Whatever ended this attempt, an earlier one may have run, and that is what the client must know.
	if execution.ambiguous && code != apierror.ClientDisconnected {
		code = apierror.OutcomeUnknown
	}
	if execution.relayed && code != apierror.ClientDisconnected {
		code, retry = apierror.RunFailed, 0
	}
	return &codec.Refusal{Code: code, Detail: detail, Ran: ran, RetryAfter: retry, DidNotRun: ran == scheduler.DidNotRun}
}
