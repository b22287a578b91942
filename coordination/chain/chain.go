// Package chain replicates one document along a chain of machines with disks. A change enters at the head, is
// synced by each member before it is forwarded to the successor, and is committed once the tail has synced it, if the
// chain has at least the view's MinReplicas members; the tail answers learners. Each member's history begins with its
// successor's, which is why a member may only be removed from the chain, or added at its end after it has learned a
// complete committed document.
//
// # Contract
//
// A Chain is one member's part, a pure state machine under a view that others agree on (see package view):
//
//   - It is handed each view by Chain.Adopt.
//   - Forwarded entries are handed to Chain.HandleForward, acknowledgements to Chain.HandleAck and
//     Chain.HandleAlignment.
//   - Members outside the chain learn by Chain.RequestDocument, Chain.HandleLearnRequest and Chain.HandleLearnResponse.
//   - Chain.Tick is called often.
//
// After each call its caller drains the outbox (see package statemachine). The head's caller validates a change and
// holds the head's lease (see package lease) when it calls Chain.Submit. A tail needs no lease for
// Chain.HandleLearnRequest: it teaches what is committed in its view. A Chain is not safe for concurrent use.
//
// Messages may be lost, repeated, reordered and delayed, and a member may crash at any moment and restart from what
// its disk has synced. Under these assumptions, and with views that differ only as said above, a committed change
// is never lost while a member of the present view that is not Incomplete survives, members commit the same changes
// in the same order, and changes go on being committed while the members of the view are connected.
//
// Documents and entries are never modified once they were handed to a Chain or returned by it.
package chain

import (
	"time"

	"wardtray/apierror"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// MaximumPending bounds the changes that are pending at once.
	MaximumPending = 64
	// MaximumPendingBytes bounds what pending changes take together, beyond a single one: a
	// snapshot and the log hold all of it, and a disk has 64 MB.
	MaximumPendingBytes = 4 << 20
	// MaximumOutcomes bounds the operations whose outcome is remembered.
	MaximumOutcomes = 4096
)

// notMember is the index of a member that is not in the chain.
const notMember = -1

// Chain is one member's part.
type Chain struct {
	self      string
	outbox    *statemachine.Outbox
	address   func(member *wire.Member) string
	committed func(now time.Time, sequence uint64)

	view *wire.View
	// index is this member's in the view's chain, notMember where it is not in it.
	index   int
	history history
	// received is the sequence of the newest entry, and synced up to where the disk holds the history.
	received uint64
	synced   uint64
	// restored is the sequence of the newest entry that this member began with: what of it was committed, and so may
	// have been acknowledged, is not known. Zero once the history was replaced by a committed document.
	restored uint64
	// replacements counts how often the whole history was replaced, so that late completions of
	// writes of an earlier one are recognized.
	replacements uint64

	// successorProgress is what is known of the successor in this view.
	successorProgress progress
	lastRetransmit    time.Time

	// aligned is whether the predecessor has confirmed, in this view, that this member has all that
	// it had; before that a tail commits nothing and answers no learner.
	aligned bool
	// alignmentTarget is what this member had when it was first known to be aligned in this view:
	// the successor is aligned once it has as much.
	alignmentTarget uint64

	// learnedView is the view in which a member outside the chain has learned the document whole,
	// and learningView that of a learned document which is on its way to the disk.
	learnedView  uint64
	learningView uint64
	// incomplete is whether the history may lack what was committed between its being learned
	// outside the chain and this member's first view inside, until its predecessor there has
	// confirmed that it has all.
	incomplete bool
}

// New restores a member from what its disk held; base may be nil. address returns where a member is
// reached. committed is called whenever the committed document has advanced to a sequence.
func New(self string, base *wire.Document, pending []*wire.Entry, outbox *statemachine.Outbox,
	address func(member *wire.Member) string, committed func(now time.Time, sequence uint64)) *Chain {
	if base == nil {
		base = &wire.Document{}
	}
	chain := &Chain{
		self: self, outbox: outbox, address: address, committed: committed,
		view: &wire.View{}, index: notMember, history: newHistory(base, pending),
	}
	chain.received = chain.history.latest().Sequence
	chain.synced, chain.restored = chain.received, chain.received
	return chain
}

// Adopt starts to act under a newer view.
func (chain *Chain) Adopt(now time.Time, view *wire.View) {
	if view.Epoch <= chain.view.Epoch {
		return
	}
	chain.view, chain.index = view, notMember
	for index, member := range view.Chain {
		if member.Id == chain.self {
			chain.index = index
		}
	}
	chain.successorProgress = progress{}
	chain.aligned, chain.alignmentTarget = chain.IsHead(), chain.received
	chain.learningView = 0
	chain.lastRetransmit = time.Time{}
	// No machine is left that has more than the head of an agreed view.
	if chain.IsHead() {
		chain.recordComplete(now)
	}
	chain.commitAtTail(now)
	chain.Tick(now)
}

// IsHead reports whether this member is the first of the chain. A member may be both head and tail.
func (chain *Chain) IsHead() bool { return chain.index == 0 }

// IsTail reports whether this member is the last of the chain and has been confirmed by its
// predecessor to have all that that one had.
func (chain *Chain) IsTail() bool {
	return chain.IsMember() && chain.index == len(chain.view.Chain)-1 && chain.aligned
}

// IsMember reports whether this member is in the chain at all.
func (chain *Chain) IsMember() bool { return chain.index != notMember }

// Committed returns the document that is committed as far as this member knows.
func (chain *Chain) Committed() *wire.Document { return chain.history.committed }

// Pending returns the entries after the committed document.
func (chain *Chain) Pending() []*wire.Entry { return chain.history.pending }

// Synced returns the sequence up to which this member's disk holds the history.
func (chain *Chain) Synced() uint64 { return chain.synced }

// LearnedView returns the epoch of the view in which a member outside the chain has learned the
// document whole; 0 where it has not.
func (chain *Chain) LearnedView() uint64 { return chain.learnedView }

// Latest returns the document with all pending entries applied.
func (chain *Chain) Latest() *wire.Document { return chain.history.latest() }

// Outcome returns how an operation of the latest document ended; nil if it is none or was forgotten.
func (chain *Chain) Outcome(operation string) *wire.Outcome {
	return chain.history.outcomes.byOperation[operation]
}

// ForgottenBefore returns the epoch from which on the outcome of every operation is known; 0: that of each is.
func (chain *Chain) ForgottenBefore() uint64 {
	outcomes := chain.history.outcomes.list
	if len(outcomes) < MaximumOutcomes {
		return 0
	}
	return outcomes[0].SpecEpoch
}

// Incomplete reports whether this member's history may lack what was committed before it joined the
// chain. Such a member must not be the only one left of a chain.
func (chain *Chain) Incomplete() bool { return chain.incomplete }

// RestoreIncomplete restores Incomplete from what the disk held.
func (chain *Chain) RestoreIncomplete(incomplete bool) { chain.incomplete = incomplete }

// AddTo adds this member's part to a snapshot. Documents and entries are never modified, so that
// the goroutine of the disk may read them while this member goes on.
func (chain *Chain) AddTo(snapshot *wire.DurableState) {
	snapshot.Document = chain.history.committed
	snapshot.Pending = append([]*wire.Entry{}, chain.history.pending...)
	snapshot.Incomplete = chain.incomplete
}

// Submit takes a change at the head and numbers it. The caller has validated it and holds the head's
// lease. The error is apierror.NoQuorum where this member is not the head or the chain is too
// short, and apierror.Busy where too much is pending.
func (chain *Chain) Submit(now time.Time, entry *wire.Entry) error {
	if !chain.IsHead() {
		return apierror.New(apierror.NoQuorum, "not the head of the chain")
	}
	if !chain.isWritable() {
		return apierror.New(apierror.NoQuorum, "the chain is shorter than %d members", chain.view.MinReplicas)
	}
	if !chain.history.hasRoom(entry) {
		return apierror.New(apierror.Busy, "%d changes wait already", len(chain.history.pending))
	}
	entry.Sequence, entry.View = chain.received+1, chain.view.Epoch
	chain.append(now, entry)
	return nil
}

func (chain *Chain) append(now time.Time, entry *wire.Entry) {
	chain.received = entry.Sequence
	chain.history.append(entry)
	replacements := chain.replacements
	record := &wire.Record{Body: &wire.Record_Entry{Entry: entry}}
	chain.outbox.Persist(now, record, func(syncedAt time.Time) {
		// An entry of a history that was replaced meanwhile says nothing about the present one.
		if replacements == chain.replacements {
			chain.syncedTo(syncedAt, entry.Sequence)
		}
	})
}

func (chain *Chain) syncedTo(now time.Time, sequence uint64) {
	chain.synced = sequence
	chain.commitAtTail(now)
	chain.forward()
	chain.acknowledge()
}

// isWritable reports whether the chain has as many members as a change needs replicas.
func (chain *Chain) isWritable() bool { return len(chain.view.Chain) >= int(chain.view.MinReplicas) }

// commitAtTail commits what this member has synced, where it is the tail. In a chain that is not writable, whose
// members may all lose their disks without exceeding the tolerated faults, it commits only what it was restored with,
// since that may have been acknowledged. The rest was acknowledged by no head: a head acknowledges what its successor
// has committed, as all members behind it have. It remains pending until the chain is writable again.
func (chain *Chain) commitAtTail(now time.Time) {
	if !chain.IsTail() {
		return
	}
	if chain.isWritable() {
		chain.commit(now, chain.synced)
		return
	}
	chain.commit(now, chain.restored)
}

// Watermark returns the sequence up to which this member's history must be committed before it may act as head: all of
// it where the chain is writable, and otherwise what may have been acknowledged.
func (chain *Chain) Watermark() uint64 {
	if chain.isWritable() {
		return chain.received
	}
	return max(chain.restored, chain.history.committed.Sequence)
}

func (chain *Chain) commit(now time.Time, sequence uint64) {
	advanced := false
	for len(chain.history.pending) > 0 && chain.history.pending[0].Sequence <= min(sequence, chain.synced) {
		chain.history.commitFirst()
		advanced = true
	}
	if advanced {
		chain.committed(now, chain.history.committed.Sequence)
	}
}
