package leadership

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/lease"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// Grantor is an acceptor's side: it grants the lease to the head of the current term once no earlier head can act.
type Grantor struct {
	self    string
	agent   *view.Agent
	outbox  *statemachine.Outbox
	witness *lease.Witness
	lessor  *lease.Lessor
	// clearedTerm is the last term for which the disk records that no earlier head can act any more.
	clearedTerm uint64
}

// NewGrantor returns the acceptor's side of a process that starts now. clearedTerm is the cleared term that its disk
// records.
func NewGrantor(now time.Time, self string, agent *view.Agent, outbox *statemachine.Outbox, witness *lease.Witness,
	clearedTerm uint64) *Grantor {
	return &Grantor{self: self, agent: agent, outbox: outbox, witness: witness, clearedTerm: clearedTerm,
		lessor: lease.NewLessor(now, agent.Current(), clearedTerm)}
}

// ClearedTerm returns the last term for which this process has recorded that no earlier head can act any more.
func (grantor *Grantor) ClearedTerm() uint64 { return grantor.clearedTerm }

// Adopt handles a newly agreed view.
func (grantor *Grantor) Adopt(now time.Time, current *wire.View) {
	grantor.lessor.AdoptView(now, current)
}

// ObserveEpoch handles a message that shows that a process acts under the view with an epoch.
func (grantor *Grantor) ObserveEpoch(now time.Time, id string, epoch uint64) {
	grantor.lessor.ObserveEpoch(now, id, epoch)
}

// ConnectionRefused handles a connection attempt, made at the time tried, that was refused at an address.
func (grantor *Grantor) ConnectionRefused(now time.Time, address string, tried time.Time) {
	grantor.lessor.ObserveConnectionRefused(now, address, tried)
}

// Tick sends the current view to earlier heads that may still act, so that their next messages prove that they adopted
// it. Once none can act any more, it records that on the disk, so that the acceptor may grant right after a restart.
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

// HandleRequest handles a head's request for the lease: it sends a grant if it may, and the current view if the request
// is from an older one.
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
func ceilMilliseconds(duration time.Duration) uint32 {
	return uint32((duration + time.Millisecond - 1) / time.Millisecond)
}
