// Package view agrees the next view of a fleet: who is in the chain, in which order, and who keeps
// views. The acceptors of one view agree the next by single-decree Paxos, one instance for each view
// epoch; there is no leader and no log. The first view is agreed by all founders together.
//
// An Agent is a pure state machine. Give it messages and completions; drain its outbox.
package view

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Patience is how long the first attempt at a view may take before it counts as failed.
const Patience = 400 * time.Millisecond

// mostPatience is how long a later one may take: each has twice the time of the one before, since disks may be too slow
// for two writes in the time of the first.
const mostPatience = 4 * Patience

// Agent is proposer, acceptor and learner in one.
type Agent struct {
	self    string
	outbox  *statemachine.Outbox
	resolve func(id string) (address string)
	learned func(now time.Time, view *wire.View)

	current *wire.View
	since   time.Time
	vote    *wire.AcceptorState
	attempt *attempt
	// patience is how long the present attempt may take; zero: none was made at this view yet.
	patience time.Duration
	// syncing counts the promises and votes that the disk has not confirmed yet.
	syncing int
	round   uint64
	// The view whose record is being synced, or was last; it is acted on only afterwards.
	newest *wire.View
}

type attempt struct {
	instance  uint64
	ballot    *wire.ProposalNumber
	acceptors []*wire.Member
	quorum    int
	value     *wire.View
	promises  map[string]*wire.ViewPromise
	accepts   map[string]bool
	voting    bool
	started   time.Time
}

// NewAgent restores an agent from what the disk held; current and vote may be nil.
func NewAgent(now time.Time, self string, current *wire.View, vote *wire.AcceptorState, outbox *statemachine.Outbox,
	resolve func(id string) string, learned func(now time.Time, view *wire.View)) *Agent {
	if current == nil {
		current = &wire.View{}
	}
	if vote == nil || vote.Instance != current.Epoch+1 {
		vote = &wire.AcceptorState{Instance: current.Epoch + 1}
	}
	return &Agent{self: self, outbox: outbox, resolve: resolve, learned: learned, current: current, newest: current, since: now, vote: vote}
}

// Current gives the view that this agent acts under; its epoch is 0 where there is none yet.
func (agent *Agent) Current() *wire.View { return agent.current }

// Newest gives the newest view heard of. It may still be on its way to the disk; this agent's machine acts in none
// before it any more, and in it only once it is Current.
func (agent *Agent) Newest() *wire.View { return agent.newest }

// Since tells when the current view was learned, or when this process began if that was later.
func (agent *Agent) Since() time.Time { return agent.since }

// Vote gives the acceptor's state, for a whole memory.
func (agent *Agent) Vote() *wire.AcceptorState { return agent.vote }

// Voted tells whether this acceptor has voted for the next view.
func (agent *Agent) Voted() bool { return agent.vote.Value != nil }

// Busy tells whether an attempt of this agent's is under way, or a promise or vote of its own, which a new attempt
// would only make worthless.
func (agent *Agent) Busy(now time.Time) bool {
	return agent.syncing > 0 || agent.attempt != nil && now.Sub(agent.attempt.started) < agent.patience
}

// Propose begins an attempt at the next view among the present acceptors.
func (agent *Agent) Propose(now time.Time, value *wire.View) {
	agent.begin(now, value, agent.current.Acceptors, Majority(len(agent.current.Acceptors)))
}

// Found begins an attempt at the first view. Every founder must vote, so that no part of a fleet
// can found a second one.
func (agent *Agent) Found(now time.Time, value *wire.View, founders []*wire.Member) {
	agent.begin(now, value, founders, len(founders))
}

// Majority is the least number that no second group can match.
func Majority(count int) int { return count/2 + 1 }

func (agent *Agent) begin(now time.Time, value *wire.View, acceptors []*wire.Member, quorum int) {
	agent.round = max(agent.round, agent.vote.GetPromised().GetRound()) + 1
	agent.patience = min(max(Patience, 2*agent.patience), mostPatience)
	agent.attempt = &attempt{
		instance: agent.current.Epoch + 1, ballot: &wire.ProposalNumber{Round: agent.round, Proposer: agent.self},
		acceptors: acceptors, quorum: quorum, value: value, started: now,
		promises: map[string]*wire.ViewPromise{}, accepts: map[string]bool{},
	}
	agent.toAcceptors(&wire.Envelope{Body: &wire.Envelope_ViewPrepare{ViewPrepare: &wire.ViewPrepare{
		Instance: agent.attempt.instance, Proposal: agent.attempt.ballot}}})
}

func (agent *Agent) toAcceptors(envelope *wire.Envelope) {
	for _, acceptor := range agent.attempt.acceptors {
		address := agent.resolve(acceptor.Id)
		if address == "" {
			address = acceptor.Address
		}
		agent.outbox.Send(address, proto.Clone(envelope).(*wire.Envelope))
	}
}

// compare orders ballots by round, then proposer.
func compare(left, right *wire.ProposalNumber) int {
	if left.GetRound() != right.GetRound() {
		if left.GetRound() < right.GetRound() {
			return -1
		}
		return 1
	}
	if left.GetProposer() == right.GetProposer() {
		return 0
	}
	if left.GetProposer() < right.GetProposer() {
		return -1
	}
	return 1
}

// current instance only: an acceptor that has moved on sends the view it knows instead.
func (agent *Agent) stale(instance uint64, reply string) bool {
	if instance == agent.current.Epoch+1 {
		return false
	}
	if instance <= agent.current.Epoch {
		agent.Tell(reply)
		return true
	}
	agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewRequest{ViewRequest: &wire.ViewRequest{Epoch: agent.current.Epoch}}})
	return true
}

// Tell sends the present view to an address.
func (agent *Agent) Tell(address string) {
	if agent.current.Epoch > 0 {
		agent.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_ViewUpdate{ViewUpdate: &wire.ViewUpdate{View: agent.current}}})
	}
}

// Prepare answers a proposer's first question.
func (agent *Agent) Prepare(now time.Time, reply string, message *wire.ViewPrepare) {
	if agent.stale(message.Instance, reply) {
		return
	}
	if compare(message.Proposal, agent.vote.Promised) < 0 {
		agent.refuse(reply)
		return
	}
	agent.vote = &wire.AcceptorState{Instance: message.Instance, Promised: message.Proposal, Accepted: agent.vote.Accepted, Value: agent.vote.Value}
	promised := agent.vote
	agent.syncing++
	agent.outbox.Persist(now, &wire.Record{Body: &wire.Record_AcceptorState{AcceptorState: promised}}, func(time.Time) {
		agent.syncing--
		agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewPromise{ViewPromise: &wire.ViewPromise{
			Instance: message.Instance, Proposal: message.Proposal, Accepted: promised.Accepted, Value: promised.Value}}})
	})
}

func (agent *Agent) refuse(reply string) {
	agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewRejected{ViewRejected: &wire.ViewRejected{
		Instance: agent.vote.Instance, Promised: agent.vote.Promised}}})
}

// Promise counts an acceptor's answer and, once there are enough, asks for votes.
func (agent *Agent) Promise(_ time.Time, sender string, message *wire.ViewPromise) {
	attempt := agent.running(message.Instance, message.Proposal)
	if attempt == nil || attempt.voting || !attempt.has(sender) {
		return
	}
	attempt.promises[sender] = message
	if len(attempt.promises) < attempt.quorum {
		return
	}
	// A value that some majority may already have chosen must be proposed again, and only the one of the greatest ballot can have been.
	var greatest *wire.ViewPromise
	for _, promise := range attempt.promises {
		if promise.Value != nil && (greatest == nil || compare(promise.Accepted, greatest.Accepted) > 0) {
			greatest = promise
		}
	}
	if greatest != nil {
		attempt.value = greatest.Value
	}
	attempt.voting = true
	agent.toAcceptors(&wire.Envelope{Body: &wire.Envelope_ViewAccept{ViewAccept: &wire.ViewAccept{
		Instance: attempt.instance, Proposal: attempt.ballot, Value: attempt.value}}})
}

// Accept votes for a value unless a greater ballot was promised.
func (agent *Agent) Accept(now time.Time, reply string, message *wire.ViewAccept) {
	if agent.stale(message.Instance, reply) {
		return
	}
	if compare(message.Proposal, agent.vote.Promised) < 0 {
		agent.refuse(reply)
		return
	}
	agent.vote = &wire.AcceptorState{Instance: message.Instance, Promised: message.Proposal, Accepted: message.Proposal, Value: message.Value}
	agent.syncing++
	agent.outbox.Persist(now, &wire.Record{Body: &wire.Record_AcceptorState{AcceptorState: agent.vote}}, func(time.Time) {
		agent.syncing--
		agent.outbox.Send(reply, &wire.Envelope{Body: &wire.Envelope_ViewAccepted{ViewAccepted: &wire.ViewAccepted{
			Instance: message.Instance, Proposal: message.Proposal}}})
	})
}

// Accepted counts votes; with enough of them the view is chosen.
func (agent *Agent) Accepted(now time.Time, sender string, message *wire.ViewAccepted) {
	attempt := agent.running(message.Instance, message.Proposal)
	if attempt == nil || !attempt.voting || !attempt.has(sender) {
		return
	}
	attempt.accepts[sender] = true
	if len(attempt.accepts) >= attempt.quorum {
		agent.attempt = nil
		agent.Learn(now, attempt.value)
		agent.announce(attempt)
	}
}

// announce tells the acceptors of a chosen view at once. They have voted, so they let nobody act until they know; this
// machine tells everybody once its own disk has the view, but that disk may be the one that has failed.
func (agent *Agent) announce(attempt *attempt) {
	for _, acceptor := range attempt.acceptors {
		if acceptor.Id != agent.self {
			agent.outbox.Send(agent.addressOf(acceptor), &wire.Envelope{Body: &wire.Envelope_ViewUpdate{ViewUpdate: &wire.ViewUpdate{View: attempt.value}}})
		}
	}
}

// Refused makes the next attempt begin above the ballot that beat this one.
func (agent *Agent) Refused(message *wire.ViewRejected) {
	agent.round = max(agent.round, message.Promised.GetRound())
}

// Learn takes over a chosen view that is newer than the present one, once it is synced.
func (agent *Agent) Learn(now time.Time, view *wire.View) {
	if view == nil || view.Epoch <= agent.newest.Epoch {
		return
	}
	// A member of one fleet must never be talked into another.
	if agent.current.Epoch > 0 && view.Fleet != agent.current.Fleet {
		return
	}
	agent.newest = view
	agent.outbox.Persist(now, &wire.Record{Body: &wire.Record_View{View: view}}, func(done time.Time) {
		if view.Epoch <= agent.current.Epoch {
			return
		}
		previous := agent.current
		agent.current, agent.since, agent.attempt, agent.patience = view, done, nil, 0
		agent.vote = &wire.AcceptorState{Instance: view.Epoch + 1}
		told := map[string]bool{}
		for _, group := range [][]*wire.Member{previous.Chain, previous.Acceptors, view.Chain, view.Acceptors} {
			for _, member := range group {
				if member.Id != agent.self && !told[member.Id] {
					told[member.Id] = true
					agent.Tell(agent.addressOf(member))
				}
			}
		}
		agent.learned(done, view)
	})
}

func (agent *Agent) addressOf(member *wire.Member) string {
	if address := agent.resolve(member.Id); address != "" {
		return address
	}
	return member.Address
}

func (agent *Agent) running(instance uint64, ballot *wire.ProposalNumber) *attempt {
	if agent.attempt == nil || agent.attempt.instance != instance || compare(agent.attempt.ballot, ballot) != 0 {
		return nil
	}
	return agent.attempt
}

func (attempt *attempt) has(id string) bool {
	for _, acceptor := range attempt.acceptors {
		if acceptor.Id == id {
			return true
		}
	}
	return false
}
