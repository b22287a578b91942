package chain

import (
	"time"

	"wardtray/wire"
)

// RequestDocument requests the committed document from the tail at an address. A member outside the chain calls it
// periodically, so that it stays close to the history of the chain that it may join. It requests nothing while a
// document of this view is being written to the disk, since another one would be dropped.
func (chain *Chain) RequestDocument(tail string) {
	if chain.learningView == chain.view.Epoch {
		return
	}
	known := uint64(0)
	// A history stored before this view may hold changes that were never committed, so it does not count.
	if chain.learnedView == chain.view.Epoch {
		known = chain.synced
	}
	request := &wire.LearnRequest{View: chain.view.Epoch, Sequence: known}
	chain.outbox.Send(tail, &wire.Envelope{Body: &wire.Envelope_LearnRequest{LearnRequest: request}})
}

// HandleLearnRequest answers a process outside the chain. It may be called at any member; only the tail answers, and it
// needs no lease.
func (chain *Chain) HandleLearnRequest(reply string, message *wire.LearnRequest) {
	if message.View != chain.view.Epoch || !chain.IsTail() {
		return
	}
	committed := chain.history.committed
	if message.Sequence == 0 || message.Sequence < committed.Sequence {
		response := &wire.LearnResponse{View: chain.view.Epoch, Document: committed}
		chain.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_LearnResponse{LearnResponse: response}})
	}
}

// HandleLearnResponse handles the tail's document, which replaces this member's complete history.
func (chain *Chain) HandleLearnResponse(now time.Time, message *wire.LearnResponse) {
	if message.View != chain.view.Epoch || chain.IsMember() || message.Document == nil {
		return
	}
	view := message.View
	if chain.learnedView == view && message.Document.Sequence <= chain.received {
		return
	}
	// No other document replaces one that is being written to the disk. During a steady stream of changes each response
	// is newer, and a disk slower than the requests would never complete any of them.
	if chain.learningView == view {
		return
	}
	chain.learningView, chain.incomplete = view, true
	chain.replaceHistory(now, message.Document, func(syncedAt time.Time) {
		chain.learnedView, chain.learningView = view, 0
		if chain.IsMember() {
			chain.commitAtTail(syncedAt)
			chain.acknowledge()
		}
	})
}

// replaceHistory replaces the complete history by a committed document. onSynced is called once the document is synced,
// unless the history was replaced again before that.
func (chain *Chain) replaceHistory(now time.Time, document *wire.Document, onSynced func(now time.Time)) {
	chain.history, chain.received = newHistory(document, nil), document.Sequence
	// Nothing of the old history may count as synced before the new one is.
	chain.synced, chain.restored = 0, 0
	chain.replacements++
	replacements := chain.replacements
	record := &wire.Record{Body: &wire.Record_Document{Document: document}, Incomplete: chain.incomplete}
	chain.outbox.Persist(now, record, func(syncedAt time.Time) {
		if replacements != chain.replacements {
			return
		}
		chain.synced = document.Sequence
		onSynced(syncedAt)
		chain.onCommitted(syncedAt, document.Sequence)
	})
}
