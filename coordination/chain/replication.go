package chain

import (
	"time"

	"wardtray/wire"
)

const (
	// sendWindow bounds the total size, in bytes, of the entries in flight to the successor; a single entry may exceed it.
	sendWindow = 1 << 20
	// retransmitInterval is the interval at which a member retransmits messages that may have been lost, and
	// idleRetransmitInterval the interval while, as far as it knows, its neighbours in the chain lack nothing.
	retransmitInterval     = 200 * time.Millisecond
	idleRetransmitInterval = time.Second
)

// progress tracks the replication to the successor in the current view.
type progress struct {
	// acknowledged reports whether the successor has sent any acknowledgement, and synced is the sequence up to which it
	// has synced.
	acknowledged bool
	synced       uint64
	// sent is the sequence up to which the history was sent to the successor, and syncedAtRetransmit the value of synced
	// at the last retransmission.
	sent               uint64
	syncedAtRetransmit uint64
}

func (chain *Chain) successor() *wire.Member {
	if !chain.IsMember() || chain.index+1 >= len(chain.view.Chain) {
		return nil
	}
	return chain.view.Chain[chain.index+1]
}

func (chain *Chain) predecessor() *wire.Member {
	if !chain.IsMember() || chain.IsHead() {
		return nil
	}
	return chain.view.Chain[chain.index-1]
}

// isFromPredecessor reports whether a message belongs to the current view and comes from the predecessor in it.
func (chain *Chain) isFromPredecessor(view uint64, sender string) bool {
	predecessor := chain.predecessor()
	return view == chain.view.Epoch && predecessor != nil && predecessor.Id == sender
}

// isFromSuccessor reports whether a message belongs to the current view and comes from the successor in it.
func (chain *Chain) isFromSuccessor(view uint64, sender string) bool {
	successor := chain.successor()
	return view == chain.view.Epoch && successor != nil && successor.Id == sender
}

// forward sends the successor the synced entries that it lacks and that were not sent yet, within sendWindow. If some
// of the missing entries are part of the committed document, and so no longer kept one by one, it first sends the
// complete document.
func (chain *Chain) forward() {
	successor := chain.successor()
	if successor == nil || !chain.successorProgress.acknowledged {
		return
	}
	address, committed, progress := chain.address(successor), chain.history.committed, &chain.successorProgress
	progress.sent = max(progress.sent, progress.synced)
	if progress.sent < committed.Sequence {
		progress.sent = committed.Sequence
		chain.sendForward(address, &wire.ChainForward{View: chain.view.Epoch, Document: committed})
	}
	inFlight := 0
	for _, entry := range chain.history.pending {
		if entry.Sequence <= progress.synced {
			continue
		}
		if entry.Sequence > chain.synced || inFlight > 0 && inFlight+entryBytes(entry) > sendWindow {
			return
		}
		inFlight += entryBytes(entry)
		if entry.Sequence > progress.sent {
			progress.sent = entry.Sequence
			chain.sendForward(address, &wire.ChainForward{View: chain.view.Epoch, Entry: entry})
		}
	}
}

func (chain *Chain) sendForward(address string, message *wire.ChainForward) {
	chain.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_ChainForward{ChainForward: message}})
}

// acknowledge sends the predecessor the sequences up to which this member has synced and committed.
func (chain *Chain) acknowledge() {
	if predecessor := chain.predecessor(); predecessor != nil {
		chain.sendAck(predecessor, chain.synced)
	}
}

func (chain *Chain) sendAck(member *wire.Member, synced uint64) {
	chain.outbox.Send(chain.address(member), &wire.Envelope{Body: &wire.Envelope_ChainAck{ChainAck: &wire.ChainAck{
		View: chain.view.Epoch, Synced: synced, Committed: chain.history.committed.Sequence}}})
}

// HandleForward handles the next entry, or a complete document, from the predecessor.
func (chain *Chain) HandleForward(now time.Time, sender string, message *wire.ChainForward) {
	if !chain.isFromPredecessor(message.View, sender) {
		return
	}
	if message.Document != nil && message.Document.Sequence > chain.received {
		chain.replaceHistory(now, message.Document, func(syncedAt time.Time) {
			chain.commitAtTail(syncedAt)
			chain.acknowledge()
		})
		return
	}
	if message.Entry != nil && message.Entry.Sequence == chain.received+1 {
		chain.append(now, message.Entry)
		return
	}
	chain.acknowledge()
}

// HandleAck handles the successor's acknowledgement.
func (chain *Chain) HandleAck(now time.Time, sender string, message *wire.ChainAck) {
	if !chain.isFromSuccessor(message.View, sender) {
		return
	}
	chain.successorProgress.acknowledged = true
	chain.successorProgress.synced = max(chain.successorProgress.synced, message.Synced)
	before := chain.history.committed.Sequence
	chain.commit(now, message.Committed)
	if chain.history.committed.Sequence > before {
		chain.acknowledge()
	}
	chain.forward()
	// The successor may answer as the tail only once it has synced all entries that this member had when the view began.
	chain.confirmAlignment()
}

// Tick retransmits messages that may have been lost. It is called at least a few times in each retransmitInterval.
func (chain *Chain) Tick(now time.Time) {
	if !chain.IsMember() || !chain.retransmitDue(now) {
		return
	}
	chain.lastRetransmit = now
	chain.acknowledge()
	// A successor that makes progress lost no message; it may only be slow.
	progress := &chain.successorProgress
	if progress.synced == progress.syncedAtRetransmit {
		progress.sent = progress.synced
	}
	progress.syncedAtRetransmit = progress.synced
	chain.forward()
	chain.confirmAlignment()
}

func (chain *Chain) retransmitDue(now time.Time) bool {
	interval := retransmitInterval
	if chain.idle() {
		interval = idleRetransmitInterval
	}
	return now.Sub(chain.lastRetransmit) >= interval
}

// idle reports whether, as far as this member knows, its neighbours in the chain lack nothing.
func (chain *Chain) idle() bool {
	if len(chain.history.pending) > 0 || !chain.aligned {
		return false
	}
	progress := chain.successorProgress
	return chain.successor() == nil || progress.acknowledged && progress.synced >= chain.synced
}
