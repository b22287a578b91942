package chain

import (
	"time"

	"wardtray/wire"
)

// confirmAlignment notifies the successor once the successor has synced the complete history that this member had when
// the view began. No member had committed a later entry before the view began, so a successor that lags behind a steady
// stream of changes need not catch up with the later entries first.
func (chain *Chain) confirmAlignment() {
	successor := chain.successor()
	if successor != nil && chain.aligned && chain.successorProgress.synced >= chain.alignmentTarget {
		chain.sendAck(successor, chain.alignmentTarget)
	}
}

// HandleAlignment handles the predecessor's confirmation that this member has synced the complete history that the
// predecessor had when the view began.
func (chain *Chain) HandleAlignment(now time.Time, sender string, message *wire.ChainAck) {
	if !chain.isFromPredecessor(message.View, sender) || message.Synced > chain.synced {
		return
	}
	if !chain.aligned {
		chain.aligned, chain.alignmentTarget = true, chain.received
		chain.commitAtTail(now)
		chain.acknowledge()
		chain.recordComplete(now)
	}
}

// recordComplete persists that this member's history is complete. Incomplete becomes false once that record is synced.
func (chain *Chain) recordComplete(now time.Time) {
	if !chain.incomplete {
		return
	}
	replacements := chain.replacements
	record := &wire.Record{Body: &wire.Record_Complete{Complete: chain.view.Epoch}}
	chain.outbox.Persist(now, record, func(time.Time) {
		if replacements == chain.replacements {
			chain.incomplete = false
		}
	})
}
