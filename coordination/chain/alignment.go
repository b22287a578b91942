package chain

import (
	"time"

	"wardtray/wire"
)

// confirmAlignment tells the successor that it has all that this member had when the view began. What came since then
// was committed by no member before the view began, so a successor that follows at a distance while changes go on need
// not catch up with it first.
func (chain *Chain) confirmAlignment() {
	successor := chain.successor()
	if successor != nil && chain.aligned && chain.successorProgress.synced >= chain.alignmentTarget {
		chain.sendAck(successor, chain.alignmentTarget)
	}
}

// HandleAlignment handles the predecessor's confirmation that this member has all that it had.
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

// recordComplete records on the disk that this member has all of the chain's history; Incomplete turns false once that
// is synced.
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
