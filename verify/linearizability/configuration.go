package linearizability

import (
	"fmt"
	"hash/fnv"

	"github.com/anishathalye/porcupine"
)

// configuration is a state of the operators' configuration: its epoch and the accepted operations. It is immutable;
// each change returns a new one.
type configuration struct {
	epoch uint64
	// operation is the last accepted operation, previous the state before it; nil in the initial state.
	operation string
	previous  *configuration
	hash      uint64
}

// acceptedEpoch returns the epoch under which an operation was accepted.
func (state *configuration) acceptedEpoch(operation string) (epoch uint64, found bool) {
	for ; state.previous != nil; state = state.previous {
		if state.operation == operation {
			return state.epoch, true
		}
	}
	return 0, false
}

// accept returns the state after an accepted change.
func (state *configuration) accept(operation string, epoch uint64) *configuration {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(hash, "%d %d %s", state.hash, epoch, operation)
	return &configuration{epoch: epoch, operation: operation, previous: state, hash: hash.Sum64()}
}

// configurationModel models a single machine that holds the configuration.
var configurationModel = porcupine.Model{
	Init: func() any { return &configuration{} },
	Step: func(state, input, _ any) (bool, any) {
		present, isState := state.(*configuration)
		call, isCall := input.(Call)
		if !isState || !isCall {
			return false, state
		}
		next := present.step(call)
		return next != nil, next
	},
	Equal: func(left, right any) bool { return hashOf(left) == hashOf(right) },
	Hash:  hashOf,
	DescribeOperation: func(input, _ any) string {
		call, _ := input.(Call)
		return call.describe()
	},
	DescribeState: func(state any) string {
		present, _ := state.(*configuration)
		return fmt.Sprintf("epoch %d by %q", present.epoch, present.operation)
	},
}

func hashOf(state any) uint64 {
	present, _ := state.(*configuration)
	return present.hash
}

// step returns the state after a call, or nil if a machine in this state can't have given the call's answer.
func (state *configuration) step(call Call) *configuration {
	if call.Answer == AnswerUnknown {
		return state
	}
	switch call.Kind {
	case KindRead:
		return state.read(call)
	case KindLookup:
		return state.lookUp(call)
	case KindChange:
		return state.change(call)
	default:
		return state
	}
}

// unchangedIf returns the state where a condition holds, nil otherwise.
func (state *configuration) unchangedIf(holds bool) *configuration {
	if holds {
		return state
	}
	return nil
}

func (state *configuration) read(call Call) *configuration {
	return state.unchangedIf(call.Result == state.epoch)
}

func (state *configuration) lookUp(call Call) *configuration {
	epoch, found := state.acceptedEpoch(call.Operation)
	if call.Answer == AnswerDone {
		return state.unchangedIf(found && epoch == call.Result)
	}
	return state.unchangedIf(!found)
}

// change returns the state after a change. An operation is accepted once, on its base, under a greater epoch than the
// present one; later calls with the same operation get the first outcome.
func (state *configuration) change(call Call) *configuration {
	accepted, found := state.acceptedEpoch(call.Operation)
	matchesBase := !call.HasBase || call.Base == state.epoch
	switch {
	case found:
		return state.unchangedIf(call.Answer == AnswerDone && accepted == call.Result)
	case call.Answer == AnswerStale:
		return state.unchangedIf(!matchesBase)
	case call.Answer == AnswerRefused:
		return state
	}
	isNext := call.Result == state.epoch+1
	if call.HasEpoch {
		isNext = call.Result == call.Epoch && call.Epoch > state.epoch
	}
	if !matchesBase || !isNext || call.previousEpoch != state.epoch {
		return nil
	}
	return state.accept(call.Operation, call.Result)
}

// describe returns a call and its answer for display.
func (call Call) describe() string {
	request := call.Kind + " " + call.Operation
	if call.HasBase {
		request += fmt.Sprintf(" on %d", call.Base)
	}
	return fmt.Sprintf("%s -> %s %d", request, call.Answer, call.Result)
}
