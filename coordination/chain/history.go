package chain

import "wardtray/wire"

// history is what one member holds: the committed document, the entries after it, and the document that
// follows from each of them. Every document is made once, when its entry comes in, so that neither a commit
// nor a look at the newest document costs more the longer the history is. Documents are never changed.
type history struct {
	committed *wire.Document
	pending   []*wire.Entry
	// documents holds, for each pending entry, the document with it folded in.
	documents    []*wire.Document
	pendingBytes int
	outcomes     outcomeWindow
}

func newHistory(committed *wire.Document, pending []*wire.Entry) history {
	made := history{committed: committed, outcomes: newOutcomeWindow(committed.Outcomes)}
	for _, entry := range pending {
		made.append(entry)
	}
	return made
}

// latest gives the document with everything pending folded in.
func (history *history) latest() *wire.Document {
	if last := len(history.documents) - 1; last >= 0 {
		return history.documents[last]
	}
	return history.committed
}

// append adds an entry after all others.
func (history *history) append(entry *wire.Entry) {
	folded := foldWithoutOutcomes(history.latest(), entry)
	if entry.ChangesSpec {
		folded.Outcomes = history.outcomes.add(outcomeOf(entry))
	}
	history.pending = append(history.pending, entry)
	history.documents = append(history.documents, folded)
	history.pendingBytes += entryBytes(entry)
}

// commitFirst makes the first pending entry part of the committed document.
func (history *history) commitFirst() {
	history.pendingBytes -= entryBytes(history.pending[0])
	history.committed = history.documents[0]
	// The arrays behind both slices would keep what is committed from being freed.
	history.pending[0], history.documents[0] = nil, nil
	history.pending, history.documents = history.pending[1:], history.documents[1:]
}

// entryBytes tells about how much memory and disk an entry takes.
func entryBytes(entry *wire.Entry) int { return len(entry.Spec) + memberBytes*len(entry.Directory) }

// memberBytes is about what one line of a directory takes.
const memberBytes = 96

// Fold gives the document that follows from another by one entry; it changes neither. It copies the outcomes
// and so defines what a member's history has to give; the history itself does without that copy.
func Fold(document *wire.Document, entry *wire.Entry) *wire.Document {
	folded := foldWithoutOutcomes(document, entry)
	if entry.ChangesSpec {
		outcomes := append(append([]*wire.Outcome{}, document.Outcomes...), outcomeOf(entry))
		folded.Outcomes = outcomes[max(0, len(outcomes)-MaximumOutcomes):]
	}
	return folded
}

// foldWithoutOutcomes folds all but the outcome of a changed configuration.
func foldWithoutOutcomes(document *wire.Document, entry *wire.Entry) *wire.Document {
	folded := &wire.Document{Sequence: entry.Sequence, SpecEpoch: document.SpecEpoch, Spec: document.Spec,
		Directory: document.Directory, PreviousDirectory: document.PreviousDirectory, Outcomes: document.Outcomes}
	if entry.ChangesSpec {
		folded.SpecEpoch, folded.Spec = entry.SpecEpoch, entry.Spec
	} else {
		folded.Directory, folded.PreviousDirectory = entry.Directory, document.Directory
	}
	return folded
}

func outcomeOf(entry *wire.Entry) *wire.Outcome {
	return &wire.Outcome{Operation: entry.Operation, SpecEpoch: entry.SpecEpoch, Sequence: entry.Sequence}
}

// outcomeWindow holds the newest outcomes in order, with an index by operation.
type outcomeWindow struct {
	// list is only ever added to behind its end, and its array is replaced when full. So the slices handed out
	// earlier, one for each document, go on holding what they held, without a copy for each.
	list        []*wire.Outcome
	byOperation map[string]*wire.Outcome
}

func newOutcomeWindow(outcomes []*wire.Outcome) outcomeWindow {
	made := outcomeWindow{list: outcomes[:len(outcomes):len(outcomes)], byOperation: make(map[string]*wire.Outcome, len(outcomes))}
	for _, outcome := range outcomes {
		made.byOperation[outcome.Operation] = outcome
	}
	return made
}

// add gives the outcomes that a document has after one more.
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
