package view

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

const (
	// AttemptTimeout is how long the first attempt at a view may take before it counts as failed.
	AttemptTimeout = 400 * time.Millisecond
	// maximumTimeout is how long a later attempt may take: each may take twice as long as the one before, since a disk
	// may be too slow for two writes within the timeout of the first.
	maximumTimeout = 4 * AttemptTimeout
)

// attempt is a proposer's attempt to have a value chosen in one instance.
type attempt struct {
	instance  uint64
	proposal  *wire.ProposalNumber
	acceptors []*wire.Member
	quorum    int
	value     *wire.View
	promises  map[string]*wire.ViewPromise
	accepted  map[string]bool
	// accepting is whether the promises are complete and the acceptors were asked to accept the value.
	accepting bool
	startedAt time.Time
}

// Propose starts an attempt at the next view among the present acceptors.
func (agent *Agent) Propose(now time.Time, value *wire.View) {
	agent.start(now, value, agent.current.Acceptors, Majority(len(agent.current.Acceptors)))
}

// Bootstrap starts an attempt at the first view. Every founder must accept it, so that no part of a fleet can found a
// second one.
func (agent *Agent) Bootstrap(now time.Time, value *wire.View, founders []*wire.Member) {
	agent.start(now, value, founders, len(founders))
}

func (agent *Agent) start(now time.Time, value *wire.View, acceptors []*wire.Member, quorum int) {
	agent.round = max(agent.round, agent.vote.GetPromised().GetRound()) + 1
	agent.timeout = min(max(AttemptTimeout, 2*agent.timeout), maximumTimeout)
	agent.attempt = &attempt{
		instance:  agent.current.Epoch + 1,
		proposal:  &wire.ProposalNumber{Round: agent.round, Proposer: agent.self},
		acceptors: acceptors, quorum: quorum, value: value, startedAt: now,
		promises: map[string]*wire.ViewPromise{}, accepted: map[string]bool{},
	}
	agent.sendToAcceptors(&wire.Envelope{Body: &wire.Envelope_ViewPrepare{ViewPrepare: &wire.ViewPrepare{
		Instance: agent.attempt.instance, Proposal: agent.attempt.proposal}}})
}

func (agent *Agent) sendToAcceptors(envelope *wire.Envelope) {
	for _, acceptor := range agent.attempt.acceptors {
		agent.outbox.Send(agent.addressOf(acceptor), proto.CloneOf(envelope))
	}
}

// HandlePromise counts an acceptor's promise. Once there is a quorum, the acceptors are asked to accept the value.
func (agent *Agent) HandlePromise(_ time.Time, sender string, message *wire.ViewPromise) {
	attempt := agent.running(message.Instance, message.Proposal)
	if attempt == nil || attempt.accepting || !attempt.includes(sender) {
		return
	}
	attempt.promises[sender] = message
	if len(attempt.promises) < attempt.quorum {
		return
	}
	if accepted := attempt.greatestAccepted(); accepted != nil {
		attempt.value = accepted
	}
	attempt.accepting = true
	agent.sendToAcceptors(&wire.Envelope{Body: &wire.Envelope_ViewAccept{ViewAccept: &wire.ViewAccept{
		Instance: attempt.instance, Proposal: attempt.proposal, Value: attempt.value}}})
}

// HandleAccepted counts an acceptor's vote. Once there is a quorum, the view is chosen.
func (agent *Agent) HandleAccepted(now time.Time, sender string, message *wire.ViewAccepted) {
	attempt := agent.running(message.Instance, message.Proposal)
	if attempt == nil || !attempt.accepting || !attempt.includes(sender) {
		return
	}
	attempt.accepted[sender] = true
	if len(attempt.accepted) >= attempt.quorum {
		agent.attempt = nil
		agent.Learn(now, attempt.value)
		agent.announce(attempt)
	}
}

// announce sends a chosen view to its acceptors at once. They have voted, so they let nobody act until they learn it;
// this process sends it to everybody once its own disk has the view, but that disk may be the one that has failed.
func (agent *Agent) announce(attempt *attempt) {
	for _, acceptor := range attempt.acceptors {
		if acceptor.Id != agent.self {
			agent.outbox.Send(agent.addressOf(acceptor), viewUpdate(attempt.value))
		}
	}
}

// HandleRejected makes the next attempt use a proposal number above the one for which this attempt was rejected.
func (agent *Agent) HandleRejected(message *wire.ViewRejected) {
	agent.round = max(agent.round, message.Promised.GetRound())
}

// running returns the present attempt if it is the one with this instance and proposal number.
func (agent *Agent) running(instance uint64, proposal *wire.ProposalNumber) *attempt {
	attempt := agent.attempt
	if attempt == nil || attempt.instance != instance || compareProposals(attempt.proposal, proposal) != 0 {
		return nil
	}
	return attempt
}

func (attempt *attempt) includes(id string) bool {
	for _, acceptor := range attempt.acceptors {
		if acceptor.Id == id {
			return true
		}
	}
	return false
}

// greatestAccepted returns the value that was accepted under the greatest proposal number in the promises, nil where
// none was. A value that some majority may already have chosen must be proposed again, and only this one can have been.
func (attempt *attempt) greatestAccepted() *wire.View {
	var greatest *wire.ViewPromise
	for _, promise := range attempt.promises {
		if promise.Value == nil {
			continue
		}
		if greatest == nil || compareProposals(promise.Accepted, greatest.Accepted) > 0 {
			greatest = promise
		}
	}
	return greatest.GetValue()
}

// compareProposals orders proposal numbers by round, then proposer.
func compareProposals(left, right *wire.ProposalNumber) int {
	return cmp.Or(
		cmp.Compare(left.GetRound(), right.GetRound()),
		cmp.Compare(left.GetProposer(), right.GetProposer()),
	)
}
