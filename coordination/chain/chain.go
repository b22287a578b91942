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

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/machine"
	"wardtray/process/fault"
	"wardtray/wire"
)

const (
	// MaximumPending bounds the changes under way at once.
	MaximumPending = 64
	// MaximumOutcomes bounds the operations whose outcome is remembered.
	MaximumOutcomes = 4096
	resend          = 200 * time.Millisecond
	resendQuiet     = time.Second
)

// Chain is one member's part.
type Chain struct {
	self      string
	outbox    *machine.Outbox
	address   func(member *wire.Member) string
	committed func(now time.Time, sequence uint64)

	view     *wire.View
	place    int
	base     *wire.Document
	pending  []*wire.Entry
	received uint64
	synced   uint64
	// What the successor is known to have synced in this view, and whether it has said so yet.
	successorSynced uint64
	successorHeard  bool
	// Whether the predecessor has spoken in this view; a tail answers nothing before.
	aligned     bool
	lastSend    time.Time
	learnedView uint64
	// Counts the times the whole history was replaced, so that late completions of the old one are known.
	history uint64
}

// New restores a member from what its disk held.
func New(self string, base *wire.Document, pending []*wire.Entry, outbox *machine.Outbox,
	address func(member *wire.Member) string, committed func(now time.Time, sequence uint64)) *Chain {
	if base == nil {
		base = &wire.Document{}
	}
	chain := &Chain{self: self, outbox: outbox, address: address, committed: committed, view: &wire.View{}, place: -1, base: base, pending: pending}
	chain.received = base.Sequence
	if len(pending) > 0 {
		chain.received = pending[len(pending)-1].Sequence
	}
	chain.synced = chain.received
	return chain
}

// Fold gives the document that follows from another by one entry; it changes neither.
func Fold(document *wire.Document, entry *wire.Entry) *wire.Document {
	folded := &wire.Document{Sequence: entry.Sequence, SpecEpoch: document.SpecEpoch, Spec: document.Spec,
		Directory: document.Directory, FormerDirectory: document.FormerDirectory, Outcomes: document.Outcomes}
	if !entry.ChangesSpec {
		folded.Directory, folded.FormerDirectory = entry.Directory, document.Directory
		return folded
	}
	folded.SpecEpoch, folded.Spec = entry.SpecEpoch, entry.Spec
	outcomes := append(append([]*wire.Outcome{}, document.Outcomes...), &wire.Outcome{
		Operation: entry.Operation, SpecEpoch: entry.SpecEpoch, Sequence: entry.Sequence})
	if len(outcomes) > MaximumOutcomes {
		outcomes = outcomes[len(outcomes)-MaximumOutcomes:]
	}
	folded.Outcomes = outcomes
	return folded
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
	chain.lastSend = time.Time{}
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
func (chain *Chain) Committed() *wire.Document { return chain.base }

// Pending gives the entries after the committed document.
func (chain *Chain) Pending() []*wire.Entry { return chain.pending }

// Synced tells up to where this member's disk holds the history.
func (chain *Chain) Synced() uint64 { return chain.synced }

// LearnedView tells in which view a member outside the chain has learned the document whole.
func (chain *Chain) LearnedView() uint64 { return chain.learnedView }

// Latest gives the document with everything pending folded in.
func (chain *Chain) Latest() *wire.Document {
	document := chain.base
	for _, entry := range chain.pending {
		document = Fold(document, entry)
	}
	return document
}

// Enter takes a change at the head. The caller has validated it and holds the claim.
func (chain *Chain) Enter(now time.Time, entry *wire.Entry) error {
	if !chain.Head() {
		return fault.New(fault.NoMajority, "not the head of the chain")
	}
	if len(chain.view.Chain) < int(chain.view.Floor) {
		return fault.New(fault.NoMajority, "the chain is shorter than %d members", chain.view.Floor)
	}
	if len(chain.pending) >= MaximumPending {
		return fault.New(fault.Busy, "%d changes wait already", len(chain.pending))
	}
	entry.Sequence, entry.View = chain.received+1, chain.view.Epoch
	chain.append(now, entry)
	return nil
}

func (chain *Chain) append(now time.Time, entry *wire.Entry) {
	chain.received = entry.Sequence
	chain.pending = append(chain.pending, entry)
	history := chain.history
	chain.outbox.Persist(now, &wire.Record{Body: &wire.Record_Entry{Entry: entry}}, func(done time.Time) {
		// An entry of a history that was replaced meanwhile says nothing about the present one.
		if history == chain.history {
			chain.syncedTo(done, entry.Sequence)
		}
	})
}

func (chain *Chain) syncedTo(now time.Time, sequence uint64) {
	chain.synced = sequence
	chain.settle(now)
	chain.passOn(now)
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
	for len(chain.pending) > 0 && chain.pending[0].Sequence <= min(sequence, chain.synced) {
		chain.base = Fold(chain.base, chain.pending[0])
		chain.pending = chain.pending[1:]
		moved = true
	}
	if moved {
		chain.committed(now, chain.base.Sequence)
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

// passOn sends the successor the next entries that it lacks.
func (chain *Chain) passOn(now time.Time) {
	successor := chain.successor()
	if successor == nil || !chain.successorHeard {
		return
	}
	chain.lastSend = now
	address := chain.address(successor)
	if chain.successorSynced < chain.base.Sequence {
		chain.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_ChainPass{ChainPass: &wire.ChainPass{
			View: chain.view.Epoch, Document: chain.base}}})
	}
	for _, entry := range chain.pending {
		if entry.Sequence > chain.successorSynced && entry.Sequence <= chain.synced {
			chain.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_ChainPass{ChainPass: &wire.ChainPass{
				View: chain.view.Epoch, Entry: entry}}})
		}
	}
}

// hold tells the predecessor how far this member is.
func (chain *Chain) hold() {
	if predecessor := chain.predecessor(); predecessor != nil {
		chain.outbox.Send(chain.address(predecessor), &wire.Envelope{Body: &wire.Envelope_ChainHold{ChainHold: &wire.ChainHold{
			View: chain.view.Epoch, Synced: chain.synced, Committed: chain.base.Sequence}}})
	}
}

// Pass takes what the predecessor sends.
func (chain *Chain) Pass(now time.Time, sender string, message *wire.ChainPass) {
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
func (chain *Chain) Hold(now time.Time, sender string, message *wire.ChainHold) {
	successor := chain.successor()
	if message.View != chain.view.Epoch || successor == nil || successor.Id != sender {
		return
	}
	first := !chain.successorHeard
	chain.successorHeard = true
	chain.successorSynced = max(chain.successorSynced, message.Synced)
	before := chain.base.Sequence
	chain.commit(now, message.Committed)
	if chain.base.Sequence > before {
		chain.hold()
	}
	if first {
		chain.passOn(now)
	}
	// The successor may only answer as a tail once it has all that its predecessor had when the view began.
	chain.align()
}

func (chain *Chain) align() {
	successor := chain.successor()
	if successor != nil && chain.aligned && chain.successorSynced >= chain.synced {
		chain.outbox.Send(chain.address(successor), &wire.Envelope{Body: &wire.Envelope_ChainHold{ChainHold: &wire.ChainHold{
			View: chain.view.Epoch, Synced: chain.synced, Committed: chain.base.Sequence}}})
	}
}

// Aligned takes the predecessor's word that this member has all it had.
func (chain *Chain) Aligned(now time.Time, sender string, message *wire.ChainHold) {
	predecessor := chain.predecessor()
	if message.View != chain.view.Epoch || predecessor == nil || predecessor.Id != sender || message.Synced > chain.synced {
		return
	}
	if !chain.aligned {
		chain.aligned = true
		chain.settle(now)
		chain.hold()
	}
}

func (chain *Chain) replace(now time.Time, document *wire.Document, then func(now time.Time)) {
	chain.base, chain.pending, chain.received = document, nil, document.Sequence
	// Nothing of the old history may count as synced before the new one is.
	chain.synced = 0
	chain.history++
	history := chain.history
	chain.outbox.Persist(now, &wire.Record{Body: &wire.Record_Document{Document: document}}, func(done time.Time) {
		if history != chain.history {
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
	chain.outbox.Send(tail, &wire.Envelope{Body: &wire.Envelope_LearnAsk{LearnAsk: &wire.LearnAsk{View: chain.view.Epoch, Sequence: held}}})
}

// Teach answers a member outside the chain; only a tail with a valid claim may call it.
func (chain *Chain) Teach(reply string, message *wire.LearnAsk) {
	if message.View == chain.view.Epoch && chain.Tail() && (message.Sequence == 0 || message.Sequence < chain.base.Sequence) {
		chain.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_LearnAnswer{LearnAnswer: &wire.LearnAnswer{
			View: chain.view.Epoch, Document: chain.base}}})
	}
}

// Learned takes the tail's document in place of everything this member held.
func (chain *Chain) Learned(now time.Time, message *wire.LearnAnswer) {
	if message.View != chain.view.Epoch || chain.Inside() || message.Document == nil {
		return
	}
	view := message.View
	if chain.learnedView == view && message.Document.Sequence <= chain.received {
		return
	}
	chain.replace(now, message.Document, func(time.Time) { chain.learnedView = view })
}

// Tick sends again what may have been lost.
func (chain *Chain) Tick(now time.Time) {
	if chain.place < 0 || now.Sub(chain.lastSend) < resend || chain.quiet() && now.Sub(chain.lastSend) < resendQuiet {
		return
	}
	chain.lastSend = now
	chain.hold()
	chain.passOn(now)
	chain.align()
}

// quiet tells that this member knows of nothing that its neighbours lack.
func (chain *Chain) quiet() bool {
	return len(chain.pending) == 0 && chain.aligned && (chain.successor() == nil || chain.successorHeard && chain.successorSynced >= chain.synced)
}

// Memory fills in this member's part of a whole memory.
func (chain *Chain) Memory(memory *wire.Memory) {
	memory.Document = proto.Clone(chain.base).(*wire.Document)
	memory.Pending = append([]*wire.Entry{}, chain.pending...)
}
