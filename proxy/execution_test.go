package proxy

import (
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/proxy/dedup"
)

// A refusal says that a request did not run only if no attempt may have run it, and names no retry time after a run
// that failed.
func TestRefusalOfExecution(t *testing.T) {
	for name, trial := range map[string]struct {
		execution execution
		code      apierror.Code
		ofAttempt string
		wantCode  apierror.Code
		wantRan   string
	}{
		"nothing was sent": {
			execution{}, apierror.NoRunner, scheduler.DidNotRun, apierror.NoRunner, scheduler.DidNotRun,
		},
		"the attempt is ambiguous": {
			execution{}, apierror.OutcomeUnknown, scheduler.Unknown, apierror.OutcomeUnknown, scheduler.Unknown,
		},
		"an earlier attempt is ambiguous": {
			execution{ambiguous: true}, apierror.NoRunner, scheduler.DidNotRun, apierror.OutcomeUnknown, scheduler.Unknown,
		},
		"the daemon stops serving after an ambiguous attempt": {
			execution{ambiguous: true}, apierror.NotServing, scheduler.DidNotRun, apierror.OutcomeUnknown, scheduler.Unknown,
		},
		"the client disconnects after an ambiguous attempt": {
			execution{ambiguous: true}, apierror.ClientDisconnected, scheduler.DidNotRun,
			apierror.ClientDisconnected, scheduler.Unknown,
		},
		"it was relayed in part": {
			execution{relayed: true}, apierror.NoRunner, scheduler.DidNotRun, apierror.RunFailed, scheduler.Unknown,
		},
		"relayed and ambiguous": {
			execution{relayed: true, ambiguous: true}, apierror.NoRunner, scheduler.DidNotRun,
			apierror.RunFailed, scheduler.Unknown,
		},
		"it ran before": {
			execution{earlier: dedup.Ran}, apierror.DuplicateRequest, scheduler.DidNotRun,
			apierror.DuplicateRequest, ranCompletely,
		},
		"it is running": {
			execution{earlier: dedup.Running}, apierror.DuplicateRequest, scheduler.DidNotRun,
			apierror.DuplicateRequest, scheduler.Unknown,
		},
		"it failed before": {
			execution{earlier: dedup.Unknown}, apierror.DuplicateRequest, scheduler.DidNotRun,
			apierror.DuplicateRequest, scheduler.Unknown,
		},
		"another daemon has it": {
			execution{earlier: dedup.TakenElsewhere}, apierror.DuplicateRequest, scheduler.DidNotRun,
			apierror.DuplicateRequest, scheduler.Unknown,
		},
	} {
		refusal := trial.execution.refusal(trial.code, "detail", trial.ofAttempt, time.Second)
		if refusal.Code != trial.wantCode || refusal.Ran != trial.wantRan || refusal.Detail != "detail" {
			t.Errorf("%s: %+v", name, refusal)
		}
		if refusal.DidNotRun != (trial.wantRan == scheduler.DidNotRun) {
			t.Errorf("%s: says that it did not run: %v", name, refusal.DidNotRun)
		}
		if (refusal.RetryAfter == 0) != (refusal.Code == apierror.RunFailed) {
			t.Errorf("%s: retry after %v", name, refusal.RetryAfter)
		}
	}
}
