package linearizability

import (
	"fmt"
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"
)

// execution is what became of one request that runs at most once.
type execution struct {
	// hasRun says that it ran, through the sending with a number.
	hasRun bool
	number int
	// refused is the greatest number of a sending of which, and before which, nothing runs.
	refused int
}

// executionModel is a single machine that runs each request at most once.
var executionModel = porcupine.NondeterministicModel{
	Partition: partitionByRequest,
	Init:      func() []any { return []any{execution{}} },
	Step: func(state, input, _ any) []any {
		present, isState := state.(execution)
		sending, isSending := input.(Sending)
		if !isState || !isSending {
			return nil
		}
		var next []any
		for _, one := range present.step(sending) {
			next = append(next, one)
		}
		return next
	},
	DescribeOperation: func(input, _ any) string {
		sending, _ := input.(Sending)
		return fmt.Sprintf("%s, sending %d to %s -> %s", sending.Request, sending.Number, sending.Daemon, sending.Outcome)
	},
	DescribeState: func(state any) string { return fmt.Sprintf("%+v", state) },
}

// partitionByRequest divides a history by what concerns one request each.
func partitionByRequest(history []porcupine.Operation) [][]porcupine.Operation {
	byRequest := map[string][]porcupine.Operation{}
	for _, operation := range history {
		sending, _ := operation.Input.(Sending)
		byRequest[sending.Request] = append(byRequest[sending.Request], operation)
	}
	partitions := make([][]porcupine.Operation, 0, len(byRequest))
	for _, request := range slices.Sorted(maps.Keys(byRequest)) {
		partitions = append(partitions, byRequest[request])
	}
	return partitions
}

// step returns the states that may follow a sending that ended as it did; none: no machine in this state ends it so.
func (state execution) step(sending Sending) []execution {
	switch sending.Outcome {
	case OutcomeRan:
		return state.run(sending)
	case OutcomeRanBefore:
		if state.hasRun {
			return []execution{state}
		}
		return nil
	case OutcomeDidNotRun:
		return state.refuse(sending)
	default:
		// It may have run, unless no runner has seen the request at all.
		if sending.Runs == 0 {
			return []execution{state}
		}
		return append(state.run(sending), state)
	}
}

// run returns the state after the request has run through a sending, if it can.
func (state execution) run(sending Sending) []execution {
	isRefused := sending.Number > 0 && sending.Number <= state.refused
	if state.hasRun || isRefused {
		return nil
	}
	state.hasRun, state.number = true, sending.Number
	return []execution{state}
}

// refuse returns the state after a sending of which it was promised that neither it nor an earlier one runs.
func (state execution) refuse(sending Sending) []execution {
	if sending.Number == 0 {
		return []execution{state}
	}
	if state.hasRun && state.number > 0 && state.number <= sending.Number {
		return nil
	}
	state.refused = max(state.refused, sending.Number)
	return []execution{state}
}
