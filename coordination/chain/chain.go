// Package chain replicates one document along a chain of machines with disks. A change enters at the head, is synced by
// each member before it is forwarded to the successor, and is committed once the tail has synced it, if the chain has
// at least the view's MinReplicas members; the tail answers learners. The successor's history is a prefix of each
// member's own, which is why a member may only be removed from the chain, or added at its end after it has learned a
// complete committed document.
//
// # Contract
//
// A Chain is one member's state, a pure state machine under a view that is agreed on elsewhere (see package view):
//
//   - Each new view is passed to Chain.Adopt.
//   - Forwarded entries are passed to Chain.HandleForward, acknowledgements to Chain.HandleAck and
//     Chain.HandleAlignment.
//   - Members outside the chain learn the committed document by Chain.RequestDocument, Chain.HandleLearnRequest and
//     Chain.HandleLearnResponse.
//   - Chain.Tick is called several times per retransmission interval.
//
// After each call its caller drains the outbox (see package statemachine). The head's caller validates a change and
// holds the head's lease (see package lease) when it calls Chain.Submit. A tail needs no lease for
// Chain.HandleLearnRequest: it sends only what is committed in its view. A Chain is not safe for concurrent use.
//
// Messages may be lost, repeated, reordered and delayed, and a member may crash at any moment and restart from what its
// disk has synced. Under these assumptions, and if chains change only in the two ways above, a committed change is
// never lost while a member of the current view that is not Incomplete survives, members commit the same changes in the
// same order, and changes continue to be committed while the members of the view are connected.
//
// Documents and entries are immutable once they were passed to a Chain or returned by it.
package chain

import (
	"time"

	"wardtray/apierror"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// MaximumPending is the maximum number of changes that may be pending at once.
	MaximumPending = 64
	// MaximumPendingBytes bounds the total size of the pending changes; a single change may exceed it. A snapshot and
	// the log hold all pending changes, and a disk has 64 MB.
	MaximumPendingBytes = 4 << 20
	// MaximumOutcomes is the number of operation outcomes that a document retains; the oldest are evicted first.
	MaximumOutcomes = 4096
)

// notMember is the index of a machine that is not in the chain.
const notMember = -1

// Chain is one member's state in the replication of the document.
type Chain struct {
	self        string
	outbox      *statemachine.Outbox
	address     func(member *wire.Member) string
	onCommitted func(now time.Time, sequence uint64)

	view *wire.View
	// index is this member's position in the view's chain, notMember if it is not in the chain.
	index   int
	history history
	// received is the sequence of the newest entry, and synced the sequence up to which the disk holds the history.
	received uint64
	synced   uint64
	// restored is the sequence of the newest entry that was on the disk at the start. The disk doesn't show which of the
	// restored entries were committed, and so may have been acknowledged. restored is 0 once a committed document has
	// replaced the history.
	restored uint64
	// replacements counts the replacements of the complete history, so that late completions of writes of an earlier
	// history are recognized.
	replacements uint64

	// successorProgress is the successor's replication progress in this view.
	successorProgress progress
	lastRetransmit    time.Time

	// aligned reports whether the predecessor has confirmed, in this view, that this member has synced all entries that
	// the predecessor had when the view began. Before that, a tail commits nothing and answers no learner.
	aligned bool
	// alignmentTarget is the newest sequence that this member had received when it became aligned in this view. The
	// successor is aligned once it has synced up to this sequence.
	alignmentTarget uint64

	// learnedView is the epoch of the view in which this member, outside the chain, has learned and synced a complete
	// document. learningView is the epoch of the view whose document is being written to the disk. Each is 0 if there is
	// no such view.
	learnedView  uint64
	learningView uint64
	// incomplete reports whether the history may lack entries that were committed after this member learned the document
	// outside the chain and before it joined the chain. It becomes false once this member is aligned and the record of its
	// alignment is synced.
	incomplete bool
}

// New restores a member from the committed document and the pending entries that its disk held; base may be nil.
// address returns the network address of a member. onCommitted is called with the new sequence whenever the committed
// document has advanced.
func New(self string, base *wire.Document, pending []*wire.Entry, outbox *statemachine.Outbox,
	address func(member *wire.Member) string, onCommitted func(now time.Time, sequence uint64)) *Chain {
	if base == nil {
		base = &wire.Document{}
	}
	chain := &Chain{
		self: self, outbox: outbox, address: address, onCommitted: onCommitted,
		view: &wire.View{}, index: notMember, history: newHistory(base, pending),
	}
	chain.received = chain.history.latest().Sequence
	chain.synced, chain.restored = chain.received, chain.received
	return chain
}

// Adopt makes a newer view the current one; older views are ignored.
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
	// No surviving machine has a longer history than the head of an agreed view.
	if chain.IsHead() {
		chain.recordComplete(now)
	}
	chain.commitAtTail(now)
	chain.Tick(now)
}

// IsHead reports whether this member is the first of the chain. A member may be both head and tail.
func (chain *Chain) IsHead() bool { return chain.index == 0 }

// IsTail reports whether this member is the last of the chain and its predecessor, if any, has confirmed its alignment.
func (chain *Chain) IsTail() bool {
	return chain.IsMember() && chain.index == len(chain.view.Chain)-1 && chain.aligned
}

// IsMember reports whether this machine is in the chain.
func (chain *Chain) IsMember() bool { return chain.index != notMember }

// Committed returns the newest document that this member knows to be committed.
func (chain *Chain) Committed() *wire.Document { return chain.history.committed }

// Pending returns the entries after the committed document.
func (chain *Chain) Pending() []*wire.Entry { return chain.history.pending }

// Synced returns the sequence up to which this member's disk holds the history.
func (chain *Chain) Synced() uint64 { return chain.synced }

// LearnedView returns the epoch of the view in which this member, outside the chain, has learned and synced a complete
// document; 0 if it has not.
func (chain *Chain) LearnedView() uint64 { return chain.learnedView }

// Latest returns the document with all pending entries applied.
func (chain *Chain) Latest() *wire.Document { return chain.history.latest() }

// Outcome returns the outcome of an operation in the latest document; nil if the operation is unknown or its outcome
// was evicted.
func (chain *Chain) Outcome(operation string) *wire.Outcome {
	return chain.history.outcomes.byOperation[operation]
}

// OldestRetainedEpoch returns the configuration epoch before which outcomes may have been evicted; 0 if none was
// evicted.
func (chain *Chain) OldestRetainedEpoch() uint64 {
	outcomes := chain.history.outcomes.list
	if len(outcomes) < MaximumOutcomes {
		return 0
	}
	return outcomes[0].SpecEpoch
}

// Incomplete reports whether this member's history may lack entries that were committed before it joined the chain.
// Such a member must not become the only member of a chain.
func (chain *Chain) Incomplete() bool { return chain.incomplete }

// RestoreIncomplete restores Incomplete from what the disk held.
func (chain *Chain) RestoreIncomplete(incomplete bool) { chain.incomplete = incomplete }

// AddToSnapshot adds this member's state to a snapshot. Documents and entries are immutable, so the disk goroutine may
// read them concurrently with further calls.
func (chain *Chain) AddToSnapshot(snapshot *wire.DurableState) {
	snapshot.Document = chain.history.committed
	snapshot.Pending = append([]*wire.Entry{}, chain.history.pending...)
	snapshot.Incomplete = chain.incomplete
}

// Submit appends a change at the head and assigns its sequence. The caller has validated the change and holds the
// head's lease. The error is apierror.NoQuorum if this member is not the head or the chain has too few members, and
// apierror.Busy if too many changes or bytes are pending.
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
		// The sequence of an entry of a replaced history means nothing in the current history.
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

// isWritable reports whether the chain has at least the view's MinReplicas members. Otherwise no new change is
// committed.
func (chain *Chain) isWritable() bool { return len(chain.view.Chain) >= int(chain.view.MinReplicas) }

// commitAtTail commits the synced entries if this member is the tail. The members of a chain that is not writable may
// all lose their disks without exceeding the tolerated faults. In such a chain the tail commits only the restored
// entries, since they may have been acknowledged. The other entries were not: a head acknowledges an entry only after
// its successor, and so every later member, has committed it. They remain pending until the chain is writable again.
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

// Watermark returns the sequence up to which this member's history must be committed before it may act as head: the
// newest entry if the chain is writable, otherwise the newest entry that may have been acknowledged.
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
		chain.onCommitted(now, chain.history.committed.Sequence)
	}
}
