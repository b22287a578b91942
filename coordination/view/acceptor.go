package view

import (
	"time"

	"wardtray/wire"
)

// HandlePrepare answers a proposer's prepare message: with a promise, once that is synced, or with a rejection.
func (agent *Agent) HandlePrepare(now time.Time, reply string, message *wire.ViewPrepare) {
	if agent.rejects(reply, message.Instance, message.Proposal) {
		return
	}
	promised := &wire.AcceptorState{
		Instance: message.Instance, Promised: message.Proposal, Accepted: agent.vote.Accepted, Value: agent.vote.Value,
	}
	agent.persistVote(now, promised, func() {
		agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewPromise{ViewPromise: &wire.ViewPromise{
			Instance: message.Instance, Proposal: message.Proposal,
			Accepted: promised.Accepted, Value: promised.Value}}})
	})
}

// HandleAccept votes for a value, and answers once the vote is synced. It rejects the value if a greater proposal
// number was promised.
func (agent *Agent) HandleAccept(now time.Time, reply string, message *wire.ViewAccept) {
	if agent.rejects(reply, message.Instance, message.Proposal) {
		return
	}
	accepted := &wire.AcceptorState{
		Instance: message.Instance, Promised: message.Proposal, Accepted: message.Proposal, Value: message.Value,
	}
	agent.persistVote(now, accepted, func() {
		agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewAccepted{ViewAccepted: &wire.ViewAccepted{
			Instance: message.Instance, Proposal: message.Proposal}}})
	})
}

// persistVote adopts and persists the acceptor's next state. onSynced sends the answer, which must not precede the
// sync.
func (agent *Agent) persistVote(now time.Time, vote *wire.AcceptorState, onSynced func()) {
	agent.vote = vote
	agent.unsynced++
	record := &wire.Record{Body: &wire.Record_AcceptorState{AcceptorState: vote}}
	agent.outbox.Persist(now, record, func(time.Time) {
		agent.unsynced--
		onSynced()
	})
}

// rejects reports whether a proposal is of another instance or has a number below the promised one, and if so answers
// it.
func (agent *Agent) rejects(reply string, instance uint64, proposal *wire.ProposalNumber) bool {
	if instance != agent.current.Epoch+1 {
		agent.answerOtherInstance(instance, reply)
		return true
	}
	if compareProposals(proposal, agent.vote.Promised) < 0 {
		agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewRejected{ViewRejected: &wire.ViewRejected{
			Instance: agent.vote.Instance, Promised: agent.vote.Promised}}})
		return true
	}
	return false
}

// answerOtherInstance sends the current view to a proposer that is behind, and requests the view from one that is
// ahead.
func (agent *Agent) answerOtherInstance(instance uint64, reply string) {
	if instance <= agent.current.Epoch {
		agent.SendView(reply)
		return
	}
	request := &wire.ViewRequest{Epoch: agent.current.Epoch}
	agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewRequest{ViewRequest: request}})
}
