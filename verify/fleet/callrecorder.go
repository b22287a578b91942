package fleet

import (
	"slices"
	"sync"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

const (
	// ruleLinearizable is broken where no order of a single machine explains what callers saw.
	ruleLinearizable = "not-linearizable"
	// judgeTimeout is for how long such an order is looked for.
	judgeTimeout = time.Minute
)

// callRecorder keeps the operators' calls as they saw them. It is safe for concurrent use.
type callRecorder struct {
	mutex sync.Mutex
	calls []linearizability.Call
}

// add keeps a call, as that of a caller of its own.
func (recorder *callRecorder) add(call linearizability.Call) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	call.Caller = len(recorder.calls)
	recorder.calls = append(recorder.calls, call)
}

// all returns the calls so far.
func (recorder *callRecorder) all() []linearizability.Call {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return slices.Clone(recorder.calls)
}

// Recording returns what the fleet's operators and clients have seen.
func (fleet *Fleet) Recording() linearizability.Recording {
	recording := linearizability.Recording{Calls: fleet.Operator.calls.all()}
	fleet.History.Change(func(history *histories.History) {
		recording.Known = history.Final.Known
		recording.Sendings = linearizability.SendingsOf(history, history.Started)
	})
	return recording
}

// violationsOf returns what a verdict on a recording says is wrong. What was not decided is not known to be right.
func violationsOf(verdict linearizability.Verdict) []histories.Violation {
	violations := make([]histories.Violation, 0, len(verdict.Broken)+len(verdict.Undecided))
	for _, part := range verdict.Broken {
		violations = append(violations, histories.Violation{Rule: ruleLinearizable,
			Detail: "no order explains the history of the " + part})
	}
	for _, part := range verdict.Undecided {
		violations = append(violations, histories.Violation{Rule: ruleLinearizable,
			Detail: "in " + judgeTimeout.String() + " no order was found or ruled out for the history of the " + part})
	}
	return violations
}
