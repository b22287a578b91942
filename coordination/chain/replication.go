package chain

import (
	"time"

	"wardtray/wire"
)

const (
	// sendWindow bounds the bytes on their way to the successor, beyond a single entry.
	sendWindow = 1 << 20
	// retransmitInterval is how often a member sends again what may have been lost, and idleRetransmitInterval how
	// often where it knows of nothing that a neighbour lacks.
	retransmitInterval     = 200 * time.Millisecond
	idleRetransmitInterval = time.Second
)

// progress is what a member knows of its successor in the present view.
type progress struct {
	// acknowledged is whether the successor has sent an acknowledgement yet, and synced up to where it has synced.
	acknowledged bool
	synced       uint64
	// sent is up to where the history was sent to it, and syncedAtRetransmit what synced was at the last
	// retransmission.
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

// isFromPredecessor reports whether a message of a view comes from this member's predecessor in the present view.
func (chain *Chain) isFromPredecessor(view uint64, sender string) bool {
	predecessor := chain.predecessor()
	return view == chain.view.Epoch && predecessor != nil && predecessor.Id == sender
}

// isFromSuccessor reports whether a message of a view comes from this member's successor in the present view.
func (chain *Chain) isFromSuccessor(view uint64, sender string) bool {
	successor := chain.successor()
	return view == chain.view.Epoch && successor != nil && successor.Id == sender
}

// forward sends the successor what it lacks and was not sent yet, as far as the window reaches. It sends the whole
// committed document first if the entries that the successor lacks are no longer kept one by one.
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

// acknowledge tells the predecessor up to where this member has synced and committed.
func (chain *Chain) acknowledge() {
	if predecessor := chain.predecessor(); predecessor != nil {
		chain.sendAck(predecessor, chain.synced)
	}
}

func (chain *Chain) sendAck(member *wire.Member, synced uint64) {
	chain.outbox.Send(chain.address(member), &wire.Envelope{Body: &wire.Envelope_ChainAck{ChainAck: &wire.ChainAck{
		View: chain.view.Epoch, Synced: synced, Committed: chain.history.committed.Sequence}}})
}

// HandleForward handles what the predecessor forwards: the next entry, or a whole document.
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
	// The successor may only answer as a tail once it has all that its predecessor had when the view began.
	chain.confirmAlignment()
}

// Tick sends again what may have been lost. It is called at least a few times in each retransmitInterval.
func (chain *Chain) Tick(now time.Time) {
	if !chain.IsMember() || !chain.retransmitDue(now) {
		return
	}
	chain.lastRetransmit = now
	chain.acknowledge()
	// A successor that makes progress has lost nothing; it is slow at most.
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

// idle reports whether this member knows of nothing that its neighbours lack.
func (chain *Chain) idle() bool {
	if len(chain.history.pending) > 0 || !chain.aligned {
		return false
	}
	progress := chain.successorProgress
	return chain.successor() == nil || progress.acknowledged && progress.synced >= chain.synced
}
