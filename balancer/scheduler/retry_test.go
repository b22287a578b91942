package scheduler

import "testing"

// Every outcome has a decision, which never executes a request twice that must not be and claims no more than is known.
func TestRetryPolicyCoversEveryOutcome(t *testing.T) {
	for _, outcome := range []AttemptOutcome{NotSent, NotExecuted, Ambiguous, Broken} {
		for _, idempotent := range []bool{false, true} {
			decision := DecideRetry(outcome, idempotent)
			mayHaveRun := outcome == Ambiguous || outcome == Broken
			for flaw, found := range map[string]bool{
				"no decision":             decision.ErrorCode == "" || decision.Execution == "",
				"executed again":          decision.Retry && (outcome == Broken || outcome == Ambiguous && !idempotent),
				"reported as not started": mayHaveRun && decision.Execution != Unknown,
			} {
				if found {
					t.Errorf("%s, %v: %s", outcome, idempotent, flaw)
				}
			}
		}
	}
}
