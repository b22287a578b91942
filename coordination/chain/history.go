package chain

import "wardtray/wire"

// memberBytes is the approximate size of one member of a directory, in memory and on disk.
const memberBytes = 96

// history holds one member's committed document, the pending entries after it, and the document that results from each
// of them. Each document is built once, when its entry arrives, so the cost of a commit or of reading the latest
// document does not grow with the history. Documents are immutable.
type history struct {
	committed *wire.Document
	pending   []*wire.Entry
	// documents holds, for each pending entry, the document that results from applying it.
	documents    []*wire.Document
	pendingBytes int
	outcomes     outcomeWindow
}

func newHistory(committed *wire.Document, pending []*wire.Entry) history {
	history := history{committed: committed, outcomes: newOutcomeWindow(committed.Outcomes)}
	for _, entry := range pending {
		history.append(entry)
	}
	return history
}

// latest returns the document with all pending entries applied.
func (history *history) latest() *wire.Document {
	if last := len(history.documents) - 1; last >= 0 {
		return history.documents[last]
	}
	return history.committed
}

// hasRoom reports whether one more entry may be pending. If none is pending, an entry of any size may.
func (history *history) hasRoom(entry *wire.Entry) bool {
	if len(history.pending) == 0 {
		return true
	}
	return len(history.pending) < MaximumPending && history.pendingBytes+entryBytes(entry) <= MaximumPendingBytes
}

// append adds an entry to the end of the history.
func (history *history) append(entry *wire.Entry) {
	document := foldWithoutOutcomes(history.latest(), entry)
	if entry.ChangesSpec {
		document.Outcomes = history.outcomes.add(outcomeOf(entry))
	}
	history.pending = append(history.pending, entry)
	history.documents = append(history.documents, document)
	history.pendingBytes += entryBytes(entry)
}

// commitFirst makes the first pending entry part of the committed document.
func (history *history) commitFirst() {
	history.pendingBytes -= entryBytes(history.pending[0])
	history.committed = history.documents[0]
	// The arrays behind both slices would otherwise keep committed entries and documents from being freed.
	history.pending[0], history.documents[0] = nil, nil
	history.pending, history.documents = history.pending[1:], history.documents[1:]
}

// entryBytes returns the approximate size of an entry, in memory and on disk.
func entryBytes(entry *wire.Entry) int {
	members := len(entry.Directory)
	for _, zone := range entry.Reservations.GetZones() {
		members += len(zone.Replicas) + len(zone.PreviousReplicas)
	}
	return len(entry.Spec) + memberBytes*members
}

// foldWithoutOutcomes applies an entry to a document, except for the outcome of a configuration change.
func foldWithoutOutcomes(document *wire.Document, entry *wire.Entry) *wire.Document {
	folded := &wire.Document{
		Sequence: entry.Sequence, SpecEpoch: document.SpecEpoch, Spec: document.Spec,
		Directory: document.Directory, PreviousDirectory: document.PreviousDirectory, Outcomes: document.Outcomes,
		Reservations: document.Reservations,
	}
	if entry.Reservations != nil {
		folded.Reservations = entry.Reservations
	}
	if entry.ChangesSpec {
		folded.SpecEpoch, folded.Spec = entry.SpecEpoch, entry.Spec
	} else {
		folded.Directory, folded.PreviousDirectory = entry.Directory, document.Directory
	}
	return folded
}

func outcomeOf(entry *wire.Entry) *wire.Outcome {
	return &wire.Outcome{Operation: entry.Operation, SpecEpoch: entry.SpecEpoch, Sequence: entry.Sequence,
		Digest: entry.Digest}
}
