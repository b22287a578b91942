package chain

import (
	"time"

	"wardtray/wire"
)

// RequestDocument requests the committed document of the tail at an address. A member outside the chain calls it
// again and again, so that it stays close to the chain that it may join. While a document of this view is on its way
// to the disk another one would not be taken, so that none is requested.
func (chain *Chain) RequestDocument(tail string) {
	if chain.learningView == chain.view.Epoch {
		return
	}
	known := uint64(0)
	// What was stored before this view may hold changes that were never committed, so it does not count.
	if chain.learnedView == chain.view.Epoch {
		known = chain.synced
	}
	request := &wire.LearnRequest{View: chain.view.Epoch, Sequence: known}
	chain.outbox.Send(tail, &wire.Envelope{Body: &wire.Envelope_LearnRequest{LearnRequest: request}})
}

// HandleLearnRequest answers a process outside the chain. Any member may call it; only a tail answers, without a lease.
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

// HandleLearnResponse handles the tail's document, which replaces everything that this member had.
func (chain *Chain) HandleLearnResponse(now time.Time, message *wire.LearnResponse) {
	if message.View != chain.view.Epoch || chain.IsMember() || message.Document == nil {
		return
	}
	view := message.View
	if chain.learnedView == view && message.Document.Sequence <= chain.received {
		return
	}
	// While one document is on its way to the disk no other replaces it: where changes go on, each
	// response is newer, and a disk slower than the requests would never complete one.
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

// replaceHistory replaces the whole history by a committed document; onSynced is called once that
// is synced, unless it was replaced again meanwhile.
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
		chain.committed(syncedAt, document.Sequence)
	})
}
