package view

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

const (
	// AttemptTimeout is the time limit of the first attempt at a view, after which it counts as failed.
	AttemptTimeout = 400 * time.Millisecond
	// maximumTimeout bounds the time limit of later attempts. The time limit doubles with each attempt, since a disk may
	// be too slow for two writes within AttemptTimeout.
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
	// accepting reports whether a quorum has promised and the acceptors were requested to accept the value.
	accepting bool
	startedAt time.Time
}

// Propose starts an attempt to have the current acceptors choose the next view.
func (agent *Agent) Propose(now time.Time, value *wire.View) {
	agent.start(now, value, agent.current.Acceptors, Majority(len(agent.current.Acceptors)))
}

// Bootstrap starts an attempt at the first view. Every founder must accept it, so that no subset of the founders can
// found a second fleet.
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

// HandlePromise counts an acceptor's promise. Once there is a quorum, it requests the acceptors to accept the value.
func (agent *Agent) HandlePromise(_ time.Time, sender string, message *wire.ViewPromise) {
	attempt := agent.currentAttempt(message.Instance, message.Proposal)
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
	attempt := agent.currentAttempt(message.Instance, message.Proposal)
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

// announce immediately sends a chosen view to the acceptors that chose it. They have voted, and so grant no lease until
// they learn the view. This process sends the view to all machines only after its own disk has synced the view, and
// that disk may be the one that has failed.
func (agent *Agent) announce(attempt *attempt) {
	for _, acceptor := range attempt.acceptors {
		if acceptor.Id != agent.self {
			agent.outbox.Send(agent.addressOf(acceptor), viewUpdate(attempt.value))
		}
	}
}

// HandleRejected makes the next attempt use a proposal number above the one that an acceptor has promised.
func (agent *Agent) HandleRejected(message *wire.ViewRejected) {
	agent.round = max(agent.round, message.Promised.GetRound())
}

// currentAttempt returns the current attempt if it has this instance and proposal number, and nil otherwise.
func (agent *Agent) currentAttempt(instance uint64, proposal *wire.ProposalNumber) *attempt {
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

// greatestAccepted returns the value that was accepted under the greatest proposal number in the promises; nil if none
// was accepted. A value that a majority may already have chosen must be proposed again, and only this one can have been
// chosen.
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

// compareProposals orders proposal numbers by round, then by proposer.
func compareProposals(left, right *wire.ProposalNumber) int {
	return cmp.Or(
		cmp.Compare(left.GetRound(), right.GetRound()),
		cmp.Compare(left.GetProposer(), right.GetProposer()),
	)
}
