package linearizability

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Verdict is the result of checking a recording.
type Verdict struct {
	// Calls and Requests are the numbers of checked operators' calls and at-most-once requests.
	Calls, Requests int
	// Broken names the parts that are not linearizable, Undecided those whose search timed out.
	Broken, Undecided []string
	// Took is the duration of the check.
	Took          time.Duration
	configuration porcupine.LinearizationInfo
	executions    porcupine.LinearizationInfo
}

// IsLinearizable reports whether both parts were decided and are linearizable.
func (verdict Verdict) IsLinearizable() bool {
	return len(verdict.Broken) == 0 && len(verdict.Undecided) == 0
}

// Flaws returns a text for each part that is not linearizable or was not decided.
func (verdict Verdict) Flaws() []string {
	flaws := make([]string, 0, len(verdict.Broken)+len(verdict.Undecided))
	for _, part := range verdict.Broken {
		flaws = append(flaws, "no order explains the history of the "+part)
	}
	for _, part := range verdict.Undecided {
		flaws = append(flaws, "the history of the "+part+" was not decided")
	}
	return flaws
}

// String returns the verdict in one line.
func (verdict Verdict) String() string {
	return fmt.Sprintf("%d calls and %d requests judged in %v; not linearizable: %v, not decided: %v", verdict.Calls,
		verdict.Requests, verdict.Took.Round(time.Millisecond), verdict.Broken, verdict.Undecided)
}

// DefaultTimeout is the maximum duration of the search for each part where no caller waits for the verdict.
const DefaultTimeout = time.Minute

// The parts of a recording, as a verdict names them.
const (
	partConfiguration = "configuration"
	partExecutions    = "requests that run at most once"
)

// Check checks whether the parts of a recording are linearizable. The timeout applies to each part.
func Check(recording Recording, timeout time.Duration) Verdict {
	started := time.Now()
	verdict := Verdict{}
	calls := recording.callOperations()
	verdict.Calls = len(recording.Calls)
	var result porcupine.CheckResult
	result, verdict.configuration = porcupine.CheckOperationsVerbose(configurationModel, calls, timeout)
	verdict.record(partConfiguration, result)
	attempts := recording.attemptOperations()
	verdict.Requests = len(partitionByRequest(attempts))
	result, verdict.executions = porcupine.CheckOperationsVerbose(executionModel.ToModel(), attempts, timeout)
	verdict.record(partExecutions, result)
	verdict.Took = time.Since(started)
	return verdict
}

// record records the result of a part.
func (verdict *Verdict) record(part string, result porcupine.CheckResult) {
	switch result {
	case porcupine.Illegal:
		verdict.Broken = append(verdict.Broken, part)
	case porcupine.Unknown:
		verdict.Undecided = append(verdict.Undecided, part)
	case porcupine.Ok:
	}
}

// operation returns a call or a client attempt as porcupine's operation. Its times are in half nanoseconds, so that an
// operation can be placed directly after a call at the same nanosecond.
func (span Span) operation(caller int, input any) porcupine.Operation {
	end := int64(math.MaxInt64)
	if span.End != Never {
		end = 2*span.End.Nanoseconds() + 1
	}
	return porcupine.Operation{ClientId: caller, Input: input, Call: 2 * span.Start.Nanoseconds(), Return: end}
}

// callOperations returns the operators' calls that state something. However often a change was sent, it is accepted at
// most once: its effect is one operation between the first transmission and the first evidence of the effect, and each
// answer to a transmission is an observation of it. So a change without an answer adds no operation that never
// ends. Of observations with the same statement, only the decisive ones are kept.
func (recording Recording) callOperations() []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(recording.Calls))
	for _, change := range recording.effects() {
		operation := change.operation(change.Caller, change)
		// narrowSpan may have moved the change's start to that of a read, which must come before the change.
		operation.Call++
		operations = append(operations, operation)
	}
	for _, call := range decisive(recording.observations()) {
		operations = append(operations, call.operation(call.Caller, call))
	}
	return operations
}

// observations returns the calls whose answers state something, as calls without an effect: an accepted change becomes
// a lookup of its operation.
func (recording Recording) observations() []Call {
	var observations []Call
	for _, call := range recording.Calls {
		if call.Answer == AnswerUnknown || call.Answer == AnswerUnavailable {
			continue
		}
		if call.Kind == KindChange && call.Answer == AnswerDone {
			call.Kind = KindLookup
		}
		observations = append(observations, call)
	}
	return observations
}

// effects returns the accepted changes in the order of their epochs, each with the epoch before it and with the period
// in which it can have taken effect.
func (recording Recording) effects() []Call {
	accepted := recording.acceptedChanges()
	effects := slices.SortedFunc(maps.Values(accepted), func(left, right Call) int {
		return cmp.Or(cmp.Compare(left.Result, right.Result), cmp.Compare(left.Operation, right.Operation))
	})
	previousEpoch := uint64(0)
	for index := range effects {
		effects[index].previousEpoch = previousEpoch
		previousEpoch = effects[index].Result
		recording.narrowSpan(&effects[index])
	}
	return effects
}

// acceptedChanges returns, by operation, the changes that were accepted according to their answers or to the fleet's
// final state. Each starts with its first transmission and has no end.
func (recording Recording) acceptedChanges() map[string]Call {
	known := map[string]uint64{}
	maps.Copy(known, recording.Known)
	for _, call := range recording.Calls {
		if call.Kind != KindRead && call.Answer == AnswerDone {
			known[call.Operation] = call.Result
		}
	}
	accepted := map[string]Call{}
	for _, call := range recording.Calls {
		epoch, isKnown := known[call.Operation]
		if call.Kind != KindChange || !isKnown || call.Answer == AnswerUnavailable {
			continue
		}
		first, found := accepted[call.Operation]
		if found && first.Start <= call.Start {
			continue
		}
		call.Answer, call.Result, call.End = AnswerDone, epoch, Never
		accepted[call.Operation] = call
	}
	return accepted
}

// narrowSpan narrows the period in which an accepted change can have taken effect. Epochs only rise, so the change took
// effect before the end of any call that shows its epoch or a later one, and after the start of any read that shows an
// earlier one.
func (recording Recording) narrowSpan(change *Call) {
	span := change.Span
	for _, call := range recording.Calls {
		if call.Answer != AnswerDone {
			continue
		}
		if call.Result >= change.Result && endsBefore(call.End, change.End) {
			change.End = call.End
		}
		if call.Kind == KindRead && call.Result < change.Result && call.Start > change.Start {
			change.Start = call.Start
		}
	}
	// A contradiction is left for the search to detect.
	if change.End != Never && change.End < change.Start {
		change.Span = span
	}
}

// attemptOperations returns the client attempts of at-most-once requests.
func (recording Recording) attemptOperations() []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(recording.ClientAttempts))
	for _, attempt := range recording.ClientAttempts {
		operations = append(operations, attempt.operation(attempt.Number, attempt))
	}
	return operations
}

// File names of the HTML pages that show a history.
const (
	ConfigurationPage = "configuration.html"
	ExecutionsPage    = "requests.html"
)

// WritePages writes HTML pages that show the history and the linearizations found into a directory.
func (verdict Verdict) WritePages(directory string) error {
	return errors.Join(
		writeFile(filepath.Join(directory, ConfigurationPage), verdict.DrawConfiguration),
		writeFile(filepath.Join(directory, ExecutionsPage), verdict.DrawExecutions),
	)
}

// DrawConfiguration writes an HTML page that shows the operators' calls and the linearizations found.
func (verdict Verdict) DrawConfiguration(target io.Writer) error {
	return porcupine.Visualize(configurationModel, verdict.configuration, target)
}

// DrawExecutions writes an HTML page that shows the client attempts of at-most-once requests and the linearizations
// found.
func (verdict Verdict) DrawExecutions(target io.Writer) error {
	return porcupine.Visualize(executionModel.ToModel(), verdict.executions, target)
}
