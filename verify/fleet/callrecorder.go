package fleet

import (
	"slices"
	"sync"

	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

// ruleLinearizable is violated if no sequential order of the operations explains the observed responses.
const ruleLinearizable = "not-linearizable"

// callRecorder records the operators' calls and the responses they observed. It is safe for concurrent use.
type callRecorder struct {
	mutex sync.Mutex
	calls []linearizability.Call
}

// add records a call under a new caller number, so that calls may overlap.
func (recorder *callRecorder) add(call linearizability.Call) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	call.Caller = len(recorder.calls)
	recorder.calls = append(recorder.calls, call)
}

// all returns the calls recorded so far.
func (recorder *callRecorder) all() []linearizability.Call {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return slices.Clone(recorder.calls)
}

// Recording returns the calls and observations of the fleet's operators and clients.
func (fleet *Fleet) Recording() linearizability.Recording {
	recording := linearizability.Recording{Calls: fleet.Operator.calls.all()}
	fleet.History.Change(func(history *histories.History) {
		recording.Known = history.Final.Known
		recording.ClientAttempts = linearizability.ClientAttemptsOf(history, history.Started)
	})
	return recording
}

// violationsOf converts the flaws in a verdict to violations of ruleLinearizable.
func violationsOf(verdict linearizability.Verdict) []histories.Violation {
	flaws := verdict.Flaws()
	violations := make([]histories.Violation, 0, len(flaws))
	for _, flaw := range flaws {
		violations = append(violations, histories.Violation{Rule: ruleLinearizable, Detail: flaw})
	}
	return violations
}
