package scheduler

import "testing"

// Every outcome has a decision. It never allows a second execution where that is forbidden, and never reports a request
// as not executed that may have been.
func TestRetryPolicyCoversEveryOutcome(t *testing.T) {
	for _, outcome := range []AttemptOutcome{NotSent, NotExecuted, Ambiguous, Broken} {
		for _, idempotent := range []bool{false, true} {
			decision := DecideRetry(outcome, idempotent)
			mayHaveRun := outcome == Ambiguous || outcome == Broken
			for flaw, found := range map[string]bool{
				"no decision":              decision.ErrorCode == "" || decision.Execution == "",
				"executed again":           decision.Retry && (outcome == Broken || outcome == Ambiguous && !idempotent),
				"reported as not executed": mayHaveRun && decision.Execution != Unknown,
			} {
				if found {
					t.Errorf("outcome %q, idempotent %v: %s", outcome, idempotent, flaw)
				}
			}
		}
	}
}
