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

// Verdict is what was found of a recording.
type Verdict struct {
	// Calls and Requests are how many calls, and requests with their sendings, were judged.
	Calls, Requests int
	// Broken says in which parts no order explains what was seen, Undecided which took too long.
	Broken, Undecided []string
	Took              time.Duration
	configuration     porcupine.LinearizationInfo
	executions        porcupine.LinearizationInfo
}

// IsLinearizable reports whether both parts were decided and can be explained.
func (verdict Verdict) IsLinearizable() bool {
	return len(verdict.Broken) == 0 && len(verdict.Undecided) == 0
}

// Flaws returns what is wrong, in words. What was not decided is not known to be right.
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

// String returns the verdict in words.
func (verdict Verdict) String() string {
	return fmt.Sprintf("%d calls and %d requests judged in %v; not linearizable: %v, not decided: %v", verdict.Calls,
		verdict.Requests, verdict.Took.Round(time.Millisecond), verdict.Broken, verdict.Undecided)
}

// DefaultTimeout is for how long an order that explains a history is looked for where nobody waits for the verdict.
const DefaultTimeout = time.Minute

// The parts of a verdict.
const (
	partConfiguration = "configuration"
	partExecutions    = "requests that run at most once"
)

// Judge looks for an order that explains a recording, for a time at most for each part.
func Judge(recording Recording, timeout time.Duration) Verdict {
	started := time.Now()
	verdict := Verdict{}
	calls := recording.callOperations()
	verdict.Calls = len(recording.Calls)
	var result porcupine.CheckResult
	result, verdict.configuration = porcupine.CheckOperationsVerbose(configurationModel, calls, timeout)
	verdict.note(partConfiguration, result)
	sendings := recording.sendingOperations()
	verdict.Requests = len(partitionByRequest(sendings))
	result, verdict.executions = porcupine.CheckOperationsVerbose(executionModel.ToModel(), sendings, timeout)
	verdict.note(partExecutions, result)
	verdict.Took = time.Since(started)
	return verdict
}

// note records the result of a part.
func (verdict *Verdict) note(part string, result porcupine.CheckResult) {
	switch result {
	case porcupine.Illegal:
		verdict.Broken = append(verdict.Broken, part)
	case porcupine.Unknown:
		verdict.Undecided = append(verdict.Undecided, part)
	case porcupine.Ok:
	}
}

// operation returns a call or a sending as porcupine takes it. Half nanoseconds are its unit, so that what follows a
// call at the same moment can be put after it.
func (span Span) operation(caller int, input any) porcupine.Operation {
	end := int64(math.MaxInt64)
	if span.End != Never {
		end = 2*span.End.Nanoseconds() + 1
	}
	return porcupine.Operation{ClientId: caller, Input: input, Call: 2 * span.Start.Nanoseconds(), Return: end}
}

// callOperations returns the operators' calls that say something. However often a change was sent, it is accepted
// once: that is an operation of its own, between the first sending and whatever shows its effect, and each answer to
// a sending is a look at it. So a change without an answer leaves nothing open. Of looks that say the same, only the
// decisive ones are kept.
func (recording Recording) callOperations() []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(recording.Calls))
	for _, change := range recording.effects() {
		operation := change.operation(change.Caller, change)
		// It follows the looks that began at the moment to which its start was moved.
		operation.Call++
		operations = append(operations, operation)
	}
	for _, call := range decisive(recording.looks()) {
		operations = append(operations, call.operation(call.Caller, call))
	}
	return operations
}

// looks returns the answered calls that say something, and change nothing by themselves.
func (recording Recording) looks() []Call {
	var looks []Call
	for _, call := range recording.Calls {
		if call.Answer == AnswerNothing || call.Answer == AnswerUnavailable {
			continue
		}
		if call.Kind == KindChange && call.Answer == AnswerDone {
			call.Kind = KindLookup
		}
		looks = append(looks, call)
	}
	return looks
}

// effects returns the changes that were accepted in the order of their epochs, each with the one that it follows and
// with the time in which it can have taken effect.
func (recording Recording) effects() []Call {
	accepted := recording.acceptedChanges()
	effects := slices.SortedFunc(maps.Values(accepted), func(left, right Call) int {
		return cmp.Or(cmp.Compare(left.Result, right.Result), cmp.Compare(left.Operation, right.Operation))
	})
	follows := uint64(0)
	for place := range effects {
		effects[place].follows = follows
		follows = effects[place].Result
		recording.narrow(&effects[place])
	}
	return effects
}

// acceptedChanges returns, by operation, the changes that were accepted, by what their answers say or is known in the
// end. Each begins with its first sending and has no end.
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

// narrow bounds when an accepted change can have taken effect. Epochs only rise, so that it came before the end of
// whatever shows its epoch or a later one, and after the start of whatever shows an earlier one.
func (recording Recording) narrow(change *Call) {
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
	// What contradicts itself is left for the search to find.
	if change.End != Never && change.End < change.Start {
		change.Span = span
	}
}

// sendingOperations returns the sendings of requests.
func (recording Recording) sendingOperations() []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(recording.Sendings))
	for _, sending := range recording.Sendings {
		operations = append(operations, sending.operation(sending.Number, sending))
	}
	return operations
}

// The names of the pages that show a history.
const (
	ConfigurationPage = "configuration.html"
	ExecutionsPage    = "requests.html"
)

// WritePages writes the pages that show the history and the orders that were found into a folder.
func (verdict Verdict) WritePages(folder string) error {
	return errors.Join(
		writeFile(filepath.Join(folder, ConfigurationPage), verdict.DrawConfiguration),
		writeFile(filepath.Join(folder, ExecutionsPage), verdict.DrawExecutions),
	)
}

// DrawConfiguration writes a page that shows the operators' calls and the orders that were found, and DrawExecutions
// one for requests that run at most once.
func (verdict Verdict) DrawConfiguration(target io.Writer) error {
	return porcupine.Visualize(configurationModel, verdict.configuration, target)
}

// DrawExecutions is described at DrawConfiguration.
func (verdict Verdict) DrawExecutions(target io.Writer) error {
	return porcupine.Visualize(executionModel.ToModel(), verdict.executions, target)
}
