package chain

import "wardtray/wire"

// outcomeWindow holds the newest outcomes in order, at most MaximumOutcomes, with an index by operation.
type outcomeWindow struct {
	// list is only ever appended to, and its array is replaced when full. So the slices returned earlier, one for each
	// document, go on holding what they held, without a copy for each.
	list        []*wire.Outcome
	byOperation map[string]*wire.Outcome
}

func newOutcomeWindow(outcomes []*wire.Outcome) outcomeWindow {
	window := outcomeWindow{
		list:        outcomes[:len(outcomes):len(outcomes)],
		byOperation: make(map[string]*wire.Outcome, len(outcomes)),
	}
	for _, outcome := range outcomes {
		window.byOperation[outcome.Operation] = outcome
	}
	return window
}

// add appends an outcome and returns those that a document has after it.
func (window *outcomeWindow) add(outcome *wire.Outcome) []*wire.Outcome {
	window.list = append(window.list, outcome)
	window.byOperation[outcome.Operation] = outcome
	for len(window.list) > MaximumOutcomes {
		forgotten := window.list[0]
		window.list = window.list[1:]
		if window.byOperation[forgotten.Operation] == forgotten {
			delete(window.byOperation, forgotten.Operation)
		}
	}
	return window.list[:len(window.list):len(window.list)]
}
