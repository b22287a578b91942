package linearizability

import (
	"fmt"
	"hash/fnv"

	"github.com/anishathalye/porcupine"
)

// configuration is the state of the operators' configuration: its epoch, and which operations were accepted. It is
// never changed; each change makes another one.
type configuration struct {
	epoch uint64
	// operation is the last that was accepted, before what was there before; nil for none.
	operation string
	before    *configuration
	hash      uint64
}

// acceptedEpoch returns the epoch under which an operation was accepted.
func (state *configuration) acceptedEpoch(operation string) (epoch uint64, found bool) {
	for ; state.before != nil; state = state.before {
		if state.operation == operation {
			return state.epoch, true
		}
	}
	return 0, false
}

// accept returns the state after a change.
func (state *configuration) accept(operation string, epoch uint64) *configuration {
	hash := fnv.New64a()
	// Writes to a hash can't fail.
	_, _ = fmt.Fprintf(hash, "%d %d %s", state.hash, epoch, operation)
	return &configuration{epoch: epoch, operation: operation, before: state, hash: hash.Sum64()}
}

// configurationModel is a single machine that holds the configuration.
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

// step returns the state after a call that was answered as it was; nil: no machine in this state answers so.
func (state *configuration) step(call Call) *configuration {
	if call.Answer == AnswerNothing {
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

// change accepts a change once, on its base, under an epoch that rises; the same operation again gets the first one's
// outcome.
func (state *configuration) change(call Call) *configuration {
	accepted, found := state.acceptedEpoch(call.Operation)
	hasItsBase := !call.HasBase || call.Base == state.epoch
	switch {
	case found:
		return state.unchangedIf(call.Answer == AnswerDone && accepted == call.Result)
	case call.Answer == AnswerStale:
		return state.unchangedIf(!hasItsBase)
	case call.Answer == AnswerRefused:
		return state
	}
	isNext := call.Result == state.epoch+1
	if call.HasEpoch {
		isNext = call.Result == call.Epoch && call.Epoch > state.epoch
	}
	if !hasItsBase || !isNext || call.follows != state.epoch {
		return nil
	}
	return state.accept(call.Operation, call.Result)
}

// describe returns a call in words.
func (call Call) describe() string {
	asked := call.Kind + " " + call.Operation
	if call.HasBase {
		asked += fmt.Sprintf(" on %d", call.Base)
	}
	return fmt.Sprintf("%s -> %s %d", asked, call.Answer, call.Result)
}
