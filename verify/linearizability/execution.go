package linearizability

import (
	"fmt"
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"
)

// execution is the state of one at-most-once request.
type execution struct {
	// hasRun reports whether the request ran, number is the number of the client attempt through which it ran.
	hasRun bool
	number int
	// refused is the number up to which no client attempt may run any more.
	refused int
}

// executionModel models a single machine that runs each request at most once.
var executionModel = porcupine.NondeterministicModel{
	Partition: partitionByRequest,
	Init:      func() []any { return []any{execution{}} },
	Step: func(state, input, _ any) []any {
		present, isState := state.(execution)
		attempt, isAttempt := input.(ClientAttempt)
		if !isState || !isAttempt {
			return nil
		}
		var next []any
		for _, one := range present.step(attempt) {
			next = append(next, one)
		}
		return next
	},
	DescribeOperation: func(input, _ any) string {
		attempt, _ := input.(ClientAttempt)
		return fmt.Sprintf("%s, attempt %d to %s -> %s", attempt.Request, attempt.Number, attempt.Daemon, attempt.Outcome)
	},
	DescribeState: func(state any) string { return fmt.Sprintf("%+v", state) },
}

// partitionByRequest groups the operations of a history by request.
func partitionByRequest(history []porcupine.Operation) [][]porcupine.Operation {
	byRequest := map[string][]porcupine.Operation{}
	for _, operation := range history {
		attempt, _ := operation.Input.(ClientAttempt)
		byRequest[attempt.Request] = append(byRequest[attempt.Request], operation)
	}
	partitions := make([][]porcupine.Operation, 0, len(byRequest))
	for _, request := range slices.Sorted(maps.Keys(byRequest)) {
		partitions = append(partitions, byRequest[request])
	}
	return partitions
}

// step returns the states that may follow a client attempt, or none if it can't have had its outcome in this state.
func (state execution) step(attempt ClientAttempt) []execution {
	switch attempt.Outcome {
	case OutcomeRan:
		return state.run(attempt)
	case OutcomeRanBefore:
		if state.hasRun {
			return []execution{state}
		}
		return nil
	case OutcomeDidNotRun:
		return state.refuse(attempt)
	default:
		// The attempt may have run, unless no runner has received the request.
		if attempt.Runs == 0 {
			return []execution{state}
		}
		return append(state.run(attempt), state)
	}
}

// run returns the state after the request has run through a client attempt, or none if it can't run.
func (state execution) run(attempt ClientAttempt) []execution {
	isRefused := attempt.Number > 0 && attempt.Number <= state.refused
	if state.hasRun || isRefused {
		return nil
	}
	state.hasRun, state.number = true, attempt.Number
	return []execution{state}
}

// refuse returns the state after a client attempt whose response promises that neither it nor an earlier one runs, or
// none if one of them has run.
func (state execution) refuse(attempt ClientAttempt) []execution {
	if attempt.Number == 0 {
		return []execution{state}
	}
	if state.hasRun && state.number > 0 && state.number <= attempt.Number {
		return nil
	}
	state.refused = max(state.refused, attempt.Number)
	return []execution{state}
}
