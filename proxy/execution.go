package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

// ranCompletely is the execution state that a refusal reports for a request whose earlier client attempt ran to
// completion.
const ranCompletely = "ran"

// earlierRuns maps the recorded state of a request that was sent before to the execution state that its refusal
// reports.
var earlierRuns = map[dedup.State]string{
	dedup.Ran:            ranCompletely,
	dedup.Running:        scheduler.Unknown,
	dedup.Unknown:        scheduler.Unknown,
	dedup.TakenElsewhere: scheduler.Unknown,
}

// execution tracks whether a request may have run. It only ever moves towards "may have run": once an attempt is
// ambiguous, no later step may report that the request did not run.
type execution struct {
	// earlier is the recorded state of the request on arrival.
	earlier dedup.State
	// earlierInDoubt reports whether an earlier client attempt may have run or may still run.
	earlierInDoubt bool
	// ambiguous reports whether an attempt at a runner may have run.
	ambiguous bool
	// relayed reports whether part of the response was forwarded to the client.
	relayed bool
}

// ran returns the execution state for a refusal, given the state that the last attempt alone would report.
func (execution *execution) ran(ofAttempt string) string {
	if earlier := earlierRuns[execution.earlier]; earlier != "" {
		return earlier
	}
	// A relayed response proves that the request ran.
	if execution.earlierInDoubt || execution.ambiguous || execution.relayed {
		return scheduler.Unknown
	}
	return ofAttempt
}

// refusal returns the refusal of a request that gets no response, or whose stream ends early. The code, the detail, the
// execution state and the retry time passed in are those of the last attempt.
func (execution *execution) refusal(code apierror.Code, detail, ofAttempt string, retry time.Duration) *codec.Refusal {
	ran := execution.ran(ofAttempt)
	// A previous attempt may have run even if the last one did not, and the client must be informed of that.
	if execution.ambiguous && code != apierror.ClientDisconnected {
		code = apierror.OutcomeUnknown
	}
	if execution.relayed && code != apierror.ClientDisconnected {
		code, retry = apierror.RunFailed, 0
	}
	return &codec.Refusal{Code: code, Detail: detail, Ran: ran, RetryAfter: retry, DidNotRun: ran == scheduler.DidNotRun}
}
