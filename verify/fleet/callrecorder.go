package fleet

import (
	"slices"
	"sync"

	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

// ruleLinearizable is broken where no order of a single machine explains what callers saw.
const ruleLinearizable = "not-linearizable"

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

// violationsOf returns what a verdict on a recording says is wrong.
func violationsOf(verdict linearizability.Verdict) []histories.Violation {
	flaws := verdict.Flaws()
	violations := make([]histories.Violation, 0, len(flaws))
	for _, flaw := range flaws {
		violations = append(violations, histories.Violation{Rule: ruleLinearizable, Detail: flaw})
	}
	return violations
}
