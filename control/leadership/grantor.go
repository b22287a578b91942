package leadership

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/lease"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// Grantor is the acceptors' side: it grants the head of the present term its lease once no earlier head acts.
type Grantor struct {
	self    string
	agent   *view.Agent
	outbox  *statemachine.Outbox
	witness *lease.Witness
	lessor  *lease.Lessor
	// clearedTerm is the last term of which the disk says that the heads before it act no more.
	clearedTerm uint64
}

// NewGrantor returns the acceptor's side of a process that starts now with a view; clearedTerm is what its disk says.
func NewGrantor(now time.Time, self string, agent *view.Agent, outbox *statemachine.Outbox, witness *lease.Witness,
	clearedTerm uint64) *Grantor {
	return &Grantor{self: self, agent: agent, outbox: outbox, witness: witness, clearedTerm: clearedTerm,
		lessor: lease.NewLessor(now, agent.Current(), clearedTerm)}
}

// ClearedTerm returns the last term before which no head acts, as far as this process has noted it on its disk.
func (grantor *Grantor) ClearedTerm() uint64 { return grantor.clearedTerm }

// Adopt handles that another view is agreed on.
func (grantor *Grantor) Adopt(now time.Time, current *wire.View) {
	grantor.lessor.AdoptView(now, current)
}

// Heard handles that a process acts under a view by now.
func (grantor *Grantor) Heard(now time.Time, id string, epoch uint64) {
	grantor.lessor.ObserveEpoch(now, id, epoch)
}

// ConnectionRefused handles that nobody listened at an address when it was tried.
func (grantor *Grantor) ConnectionRefused(now time.Time, address string, tried time.Time) {
	grantor.lessor.ObserveRefusal(now, address, tried)
}

// Tick seeks proof that the heads before this term act no more, and notes on the disk that none does, so that an
// acceptor that restarts may grant at once.
func (grantor *Grantor) Tick(now time.Time) {
	if !membership.IsAcceptor(grantor.agent.Current(), grantor.self) {
		return
	}
	for _, address := range grantor.lessor.PreviousHeads(now) {
		grantor.agent.SendView(address)
	}
	if term := grantor.lessor.Term(); term != grantor.clearedTerm && grantor.lessor.CanGrant(now, false) {
		grantor.clearedTerm = term
		record := &wire.Record{Body: &wire.Record_ClearedTerm{ClearedTerm: term}}
		grantor.outbox.Persist(now, record, func(time.Time) {})
	}
}

// HandleRequest handles a head's request for the lease: a grant is sent where one may be given, and the present view to
// a head of an older one.
func (grantor *Grantor) HandleRequest(now time.Time, envelope *wire.Envelope, request *wire.LeaderLeaseRequest) {
	current := grantor.agent.Current()
	if request.View < current.Epoch {
		grantor.agent.SendView(envelope.From)
		return
	}
	isAcceptor := membership.IsAcceptor(current, grantor.self)
	if request.View != current.Epoch || !isAcceptor || current.Chain[0].Id != envelope.Sender {
		return
	}
	if request.Committed > 0 {
		grantor.witness.ObserveHead(request.Committed)
	}
	if !grantor.lessor.CanGrant(now, grantor.agent.Voted()) {
		return
	}
	known := grantor.witness.Committed()
	grant := &wire.LeaderLeaseGrant{View: request.View, Nonce: request.Nonce, KnownSequence: known,
		ConfirmedMilliseconds: ceilMilliseconds(grantor.witness.Outstanding(now, known))}
	grantor.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_LeaderLeaseGrant{LeaderLeaseGrant: grant}})
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(length time.Duration) uint32 {
	return uint32((length + time.Millisecond - 1) / time.Millisecond)
}
