package chain

import "wardtray/wire"

// outcomeWindow holds the newest outcomes in order, at most MaximumOutcomes, with an index by operation.
type outcomeWindow struct {
	// list is only appended to, and append allocates a new array when the present one is full. The slices returned
	// earlier, one for each document, therefore keep their contents without being copied.
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

// add appends an outcome, evicts the oldest beyond MaximumOutcomes, and returns the outcomes of the resulting document.
func (window *outcomeWindow) add(outcome *wire.Outcome) []*wire.Outcome {
	window.list = append(window.list, outcome)
	window.byOperation[outcome.Operation] = outcome
	for len(window.list) > MaximumOutcomes {
		evicted := window.list[0]
		window.list = window.list[1:]
		if window.byOperation[evicted.Operation] == evicted {
			delete(window.byOperation, evicted.Operation)
		}
	}
	return window.list[:len(window.list):len(window.list)]
}
