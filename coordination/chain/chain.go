// Package chain replicates one document along a chain of disk machines. A change enters at the
// head, is synced by each member before it is passed on, and is committed once the tail has synced
// it; the tail answers reads. Each member's history begins with its successor's, which is why
// members may only be taken out of the chain, or added at its end after learning a committed
// document whole.
//
// A Chain is a pure state machine under a view that others agree (see package view).
package chain

import (
	"time"

	"wardtray/apierror"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// MaximumPending bounds the changes under way at once.
	MaximumPending = 64
	// MaximumPendingBytes bounds what they hold together, beyond a single one: a snapshot and the log hold all of
	// it, and a disk has 64 MB.
	MaximumPendingBytes = 4 << 20
	// MaximumOutcomes bounds the operations whose outcome is remembered.
	MaximumOutcomes = 4096
	// sendWindow bounds the bytes under way to the successor, beyond a single entry.
	sendWindow  = 1 << 20
	resend      = 200 * time.Millisecond
	resendQuiet = time.Second
)

// Chain is one member's part.
type Chain struct {
	self      string
	outbox    *statemachine.Outbox
	address   func(member *wire.Member) string
	committed func(now time.Time, sequence uint64)

	view     *wire.View
	place    int
	history  history
	received uint64
	synced   uint64
	// What the successor is known to have synced in this view, and whether it has said so yet.
	successorSynced uint64
	successorHeard  bool
	// passed is up to where the successor was sent the history in this view, and successorBefore is where it was
	// when something was last sent again.
	passed          uint64
	successorBefore uint64
	// Whether the predecessor has spoken in this view; a tail answers nothing before.
	aligned bool
	// mark is what this member had when it was first sure, in this view, to have all that came before.
	mark        uint64
	lastSend    time.Time
	learnedView uint64
	// learning is the view of a document that was learned and is on its way to the disk.
	learning uint64
	// incomplete tells that the history may lack what was committed between its being learned outside the chain and
	// this member's first view inside, until its predecessor there has seen it to have all.
	incomplete bool
	// replacements counts the times the whole history was replaced, so that late completions of the old one are known.
	replacements uint64
}

// New restores a member from what its disk held.
func New(self string, base *wire.Document, pending []*wire.Entry, outbox *statemachine.Outbox,
	address func(member *wire.Member) string, committed func(now time.Time, sequence uint64)) *Chain {
	if base == nil {
		base = &wire.Document{}
	}
	chain := &Chain{self: self, outbox: outbox, address: address, committed: committed, view: &wire.View{}, place: -1, history: newHistory(base, pending)}
	chain.received = chain.history.latest().Sequence
	chain.synced = chain.received
	return chain
}

// Adopt begins a new view.
func (chain *Chain) Adopt(now time.Time, view *wire.View) {
	if view.Epoch <= chain.view.Epoch {
		return
	}
	chain.view, chain.place = view, -1
	for place, member := range view.Chain {
		if member.Id == chain.self {
			chain.place = place
		}
	}
	chain.successorHeard, chain.successorSynced, chain.aligned = false, 0, chain.place == 0
	chain.passed, chain.successorBefore, chain.learning = 0, 0, 0
	chain.mark = chain.received
	chain.lastSend = time.Time{}
	// Nobody is left who has more than the head of an agreed view.
	if chain.place == 0 {
		chain.complete(now)
	}
	chain.settle(now)
	chain.Tick(now)
}

// Head and Tail tell this member's place; a member may be both.
func (chain *Chain) Head() bool { return chain.place == 0 }

// Tail tells whether this member is the last of the chain and has heard from its predecessor.
func (chain *Chain) Tail() bool {
	return chain.place >= 0 && chain.place == len(chain.view.Chain)-1 && chain.aligned
}

// Inside tells whether this member is in the chain at all.
func (chain *Chain) Inside() bool { return chain.place >= 0 }

// Committed gives the document that is committed as far as this member knows.
func (chain *Chain) Committed() *wire.Document { return chain.history.committed }

// Pending gives the entries after the committed document.
func (chain *Chain) Pending() []*wire.Entry { return chain.history.pending }

// Synced tells up to where this member's disk holds the history.
func (chain *Chain) Synced() uint64 { return chain.synced }

// LearnedView tells in which view a member outside the chain has learned the document whole.
func (chain *Chain) LearnedView() uint64 { return chain.learnedView }

// Latest gives the document with everything pending folded in.
func (chain *Chain) Latest() *wire.Document { return chain.history.latest() }

// Outcome gives how an operation of the newest document ended; nil if it is none or was forgotten.
func (chain *Chain) Outcome(operation string) *wire.Outcome {
	return chain.history.outcomes.byOperation[operation]
}

// Incomplete tells whether this member's history may lack what was committed before it joined the chain. Such a
// member must not be the only one left of a chain.
func (chain *Chain) Incomplete() bool { return chain.incomplete }

// RestoreIncomplete takes over what the disk says of it.
func (chain *Chain) RestoreIncomplete(incomplete bool) { chain.incomplete = incomplete }

// Enter takes a change at the head. The caller has validated it and holds the claim.
func (chain *Chain) Enter(now time.Time, entry *wire.Entry) error {
	if !chain.Head() {
		return apierror.New(apierror.NoMajority, "not the head of the chain")
	}
	if len(chain.view.Chain) < int(chain.view.MinReplicas) {
		return apierror.New(apierror.NoMajority, "the chain is shorter than %d members", chain.view.MinReplicas)
	}
	if waiting := len(chain.history.pending); waiting >= MaximumPending || waiting > 0 && chain.history.pendingBytes+entryBytes(entry) > MaximumPendingBytes {
		return apierror.New(apierror.Busy, "%d changes wait already", waiting)
	}
	entry.Sequence, entry.View = chain.received+1, chain.view.Epoch
	chain.append(now, entry)
	return nil
}

func (chain *Chain) append(now time.Time, entry *wire.Entry) {
	chain.received = entry.Sequence
	chain.history.append(entry)
	replacements := chain.replacements
	chain.outbox.Persist(now, &wire.Record{Body: &wire.Record_Entry{Entry: entry}}, func(done time.Time) {
		// An entry of a history that was replaced meanwhile says nothing about the present one.
		if replacements == chain.replacements {
			chain.syncedTo(done, entry.Sequence)
		}
	})
}

func (chain *Chain) syncedTo(now time.Time, sequence uint64) {
	chain.synced = sequence
	chain.settle(now)
	chain.passOn()
	chain.hold()
}

// settle commits what the tail has synced, where this member is the tail.
func (chain *Chain) settle(now time.Time) {
	if chain.Tail() {
		chain.commit(now, chain.synced)
	}
}

func (chain *Chain) commit(now time.Time, sequence uint64) {
	moved := false
	for len(chain.history.pending) > 0 && chain.history.pending[0].Sequence <= min(sequence, chain.synced) {
		chain.history.commitFirst()
		moved = true
	}
	if moved {
		chain.committed(now, chain.history.committed.Sequence)
	}
}

func (chain *Chain) successor() *wire.Member {
	if chain.place < 0 || chain.place+1 >= len(chain.view.Chain) {
		return nil
	}
	return chain.view.Chain[chain.place+1]
}

func (chain *Chain) predecessor() *wire.Member {
	if chain.place < 1 {
		return nil
	}
	return chain.view.Chain[chain.place-1]
}

// passOn sends the successor what it lacks and was not sent yet, as far as the window reaches: the whole
// document if the entries that it lacks are no longer kept one by one.
func (chain *Chain) passOn() {
	successor := chain.successor()
	if successor == nil || !chain.successorHeard {
		return
	}
	address, committed := chain.address(successor), chain.history.committed
	chain.passed = max(chain.passed, chain.successorSynced)
	if chain.passed < committed.Sequence {
		chain.passed = committed.Sequence
		chain.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_ChainForward{ChainForward: &wire.ChainForward{
			View: chain.view.Epoch, Document: committed}}})
	}
	underWay := 0
	for _, entry := range chain.history.pending {
		if entry.Sequence <= chain.successorSynced {
			continue
		}
		if entry.Sequence > chain.synced || underWay > 0 && underWay+entryBytes(entry) > sendWindow {
			return
		}
		underWay += entryBytes(entry)
		if entry.Sequence > chain.passed {
			chain.passed = entry.Sequence
			chain.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_ChainForward{ChainForward: &wire.ChainForward{
				View: chain.view.Epoch, Entry: entry}}})
		}
	}
}

// hold tells the predecessor how far this member is.
func (chain *Chain) hold() {
	if predecessor := chain.predecessor(); predecessor != nil {
		chain.outbox.Send(chain.address(predecessor), &wire.Envelope{Body: &wire.Envelope_ChainAck{ChainAck: &wire.ChainAck{
			View: chain.view.Epoch, Synced: chain.synced, Committed: chain.history.committed.Sequence}}})
	}
}

// Pass takes what the predecessor sends.
func (chain *Chain) Pass(now time.Time, sender string, message *wire.ChainForward) {
	predecessor := chain.predecessor()
	if message.View != chain.view.Epoch || predecessor == nil || predecessor.Id != sender {
		return
	}
	if message.Document != nil && message.Document.Sequence > chain.received {
		chain.replace(now, message.Document, func(done time.Time) {
			chain.settle(done)
			chain.hold()
		})
		return
	}
	if message.Entry != nil && message.Entry.Sequence == chain.received+1 {
		chain.append(now, message.Entry)
		return
	}
	chain.hold()
}

// Hold takes the successor's word of how far it is.
func (chain *Chain) Hold(now time.Time, sender string, message *wire.ChainAck) {
	successor := chain.successor()
	if message.View != chain.view.Epoch || successor == nil || successor.Id != sender {
		return
	}
	chain.successorHeard = true
	chain.successorSynced = max(chain.successorSynced, message.Synced)
	before := chain.history.committed.Sequence
	chain.commit(now, message.Committed)
	if chain.history.committed.Sequence > before {
		chain.hold()
	}
	chain.passOn()
	// The successor may only answer as a tail once it has all that its predecessor had when the view began.
	chain.align()
}

func (chain *Chain) align() {
	successor := chain.successor()
	// What came since then was committed by nobody before the view began, so a successor that follows at a distance
	// while changes go on need not catch up with it first.
	if successor != nil && chain.aligned && chain.successorSynced >= chain.mark {
		chain.outbox.Send(chain.address(successor), &wire.Envelope{Body: &wire.Envelope_ChainAck{ChainAck: &wire.ChainAck{
			View: chain.view.Epoch, Synced: chain.mark, Committed: chain.history.committed.Sequence}}})
	}
}

// Aligned takes the predecessor's word that this member has all it had.
func (chain *Chain) Aligned(now time.Time, sender string, message *wire.ChainAck) {
	predecessor := chain.predecessor()
	if message.View != chain.view.Epoch || predecessor == nil || predecessor.Id != sender || message.Synced > chain.synced {
		return
	}
	if !chain.aligned {
		chain.aligned, chain.mark = true, chain.received
		chain.settle(now)
		chain.hold()
		chain.complete(now)
	}
}

// complete notes on the disk, before it is told, that this member has all of the chain's history.
func (chain *Chain) complete(now time.Time) {
	if !chain.incomplete {
		return
	}
	replacements := chain.replacements
	chain.outbox.Persist(now, &wire.Record{Body: &wire.Record_Complete{Complete: chain.view.Epoch}}, func(time.Time) {
		if replacements == chain.replacements {
			chain.incomplete = false
		}
	})
}

func (chain *Chain) replace(now time.Time, document *wire.Document, then func(now time.Time)) {
	chain.history, chain.received = newHistory(document, nil), document.Sequence
	// Nothing of the old history may count as synced before the new one is.
	chain.synced = 0
	chain.replacements++
	replacements := chain.replacements
	chain.outbox.Persist(now, &wire.Record{Body: &wire.Record_Document{Document: document}, Incomplete: chain.incomplete}, func(done time.Time) {
		if replacements != chain.replacements {
			return
		}
		chain.synced = document.Sequence
		then(done)
		chain.committed(done, document.Sequence)
	})
}

// AskToLearn is called now and then by a member outside the chain; it asks the tail for the document.
func (chain *Chain) AskToLearn(tail string) {
	held := uint64(0)
	// What was held before this view may hold changes that were never committed, so it counts for nothing.
	if chain.learnedView == chain.view.Epoch {
		held = chain.synced
	}
	chain.outbox.Send(tail, &wire.Envelope{Body: &wire.Envelope_LearnRequest{LearnRequest: &wire.LearnRequest{View: chain.view.Epoch, Sequence: held}}})
}

// Teach answers a member outside the chain; only a tail with a valid claim may call it.
func (chain *Chain) Teach(reply string, message *wire.LearnRequest) {
	if message.View == chain.view.Epoch && chain.Tail() && (message.Sequence == 0 || message.Sequence < chain.history.committed.Sequence) {
		chain.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_LearnResponse{LearnResponse: &wire.LearnResponse{
			View: chain.view.Epoch, Document: chain.history.committed}}})
	}
}

// Learned takes the tail's document in place of everything this member held.
func (chain *Chain) Learned(now time.Time, message *wire.LearnResponse) {
	if message.View != chain.view.Epoch || chain.Inside() || message.Document == nil {
		return
	}
	view := message.View
	if chain.learnedView == view && message.Document.Sequence <= chain.received {
		return
	}
	// While one document is on its way to the disk no other takes its place. Why: where changes go on, each answer
	// is newer, and a disk slower than the questions would never bring one to its end.
	if chain.learning == view {
		return
	}
	chain.learning, chain.incomplete = view, true
	chain.replace(now, message.Document, func(done time.Time) {
		chain.learnedView, chain.learning = view, 0
		if chain.Inside() {
			chain.settle(done)
			chain.hold()
		}
	})
}

// Tick sends again what may have been lost.
func (chain *Chain) Tick(now time.Time) {
	if chain.place < 0 || now.Sub(chain.lastSend) < resend || chain.quiet() && now.Sub(chain.lastSend) < resendQuiet {
		return
	}
	chain.lastSend = now
	chain.hold()
	// A successor that moves on has lost nothing, at most it is slow.
	if chain.successorSynced == chain.successorBefore {
		chain.passed = chain.successorSynced
	}
	chain.successorBefore = chain.successorSynced
	chain.passOn()
	chain.align()
}

// quiet tells that this member knows of nothing that its neighbours lack.
func (chain *Chain) quiet() bool {
	return len(chain.history.pending) == 0 && chain.aligned && (chain.successor() == nil || chain.successorHeard && chain.successorSynced >= chain.synced)
}

// Memory fills in this member's part of a whole memory. Documents and entries are never changed, so that the
// disk's thread may read them while this member goes on.
func (chain *Chain) Memory(memory *wire.DurableState) {
	memory.Document = chain.history.committed
	memory.Pending = append([]*wire.Entry{}, chain.history.pending...)
	memory.Incomplete = chain.incomplete
}
