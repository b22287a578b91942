// Package view agrees on the successive views of a fleet. A view is a configuration of the chain: its members in their
// order, and the acceptors that vote on the next view. The acceptors of one view choose the next by single-decree
// Paxos, one instance for each view epoch; there is no leader and no log. The first view needs the votes of all
// founders.
//
// # Contract
//
// An Agent is the proposer, acceptor and learner of one process. It is a pure state machine: its caller passes it
// received messages (Agent.HandlePrepare, Agent.HandlePromise, Agent.HandleAccept, Agent.HandleAccepted and
// Agent.HandleRejected) and views (Agent.Learn), starts attempts by Agent.Propose or Agent.Bootstrap, and after each
// call drains the outbox that it was given (see package statemachine). It is not safe for concurrent use.
//
// Messages may be lost, repeated, reordered and delayed without bound, and a process may crash at any moment and
// restart from what its disk has synced. A process that has lost its disk has to come back under another id. Under
// these assumptions no two agents ever learn different views of one epoch. An attempt may fail because of lost messages
// or a competing proposer; a caller that still wants a new view proposes again once Agent.Busy is false.
package view

import (
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Agent combines the roles of proposer, acceptor and learner in one process.
type Agent struct {
	self      string
	outbox    *statemachine.Outbox
	resolve   func(id string) (address string)
	onLearned func(now time.Time, view *wire.View)

	// current is the view that this agent acts under; its record is synced. learnedAt is the moment at which it was
	// synced, or at which this process started if that was later.
	current   *wire.View
	learnedAt time.Time
	// newest is the newest learned view. It equals current, or its record is still being synced.
	newest *wire.View

	// vote is the acceptor's state, and unsynced the number of its promises and votes that are not synced yet.
	vote     *wire.AcceptorState
	unsynced int

	// attempt is the proposer's current attempt; nil if there is none.
	attempt *attempt
	// timeout is the time limit of the current attempt; 0 if none was made in this view yet.
	timeout time.Duration
	// round is the greatest round of the proposal numbers that this agent has used or was rejected with.
	round uint64
}

// NewAgent restores an agent from the view and the acceptor's state that the disk held; current and vote may be nil.
// resolve returns the current address of a member, or "" if only the one in the view is known. onLearned is called for
// each new view once it is synced.
func NewAgent(now time.Time, self string, current *wire.View, vote *wire.AcceptorState, outbox *statemachine.Outbox,
	resolve func(id string) string, onLearned func(now time.Time, view *wire.View)) *Agent {
	if current == nil {
		current = &wire.View{}
	}
	if vote == nil || vote.Instance != current.Epoch+1 {
		vote = &wire.AcceptorState{Instance: current.Epoch + 1}
	}
	return &Agent{
		self: self, outbox: outbox, resolve: resolve, onLearned: onLearned,
		current: current, learnedAt: now, newest: current, vote: vote,
	}
}

// Current returns the view that this agent acts under; its epoch is 0 if there is none yet.
func (agent *Agent) Current() *wire.View { return agent.current }

// Newest returns the newest learned view. It may not be synced yet. This agent's process no longer acts under any older
// view, and acts under the newest one only once that is Current.
func (agent *Agent) Newest() *wire.View { return agent.newest }

// LearnedAt returns the moment at which the current view was learned, or at which this process started if that was
// later.
func (agent *Agent) LearnedAt() time.Time { return agent.learnedAt }

// AcceptorState returns the acceptor's state, for a snapshot.
func (agent *Agent) AcceptorState() *wire.AcceptorState { return agent.vote }

// Voted reports whether this acceptor has voted for the next view.
func (agent *Agent) Voted() bool { return agent.vote.Value != nil }

// Busy reports whether an attempt of this agent is in progress, or one of its promises or votes is being synced. A new
// attempt would invalidate either.
func (agent *Agent) Busy(now time.Time) bool {
	return agent.unsynced > 0 || agent.attempt != nil && now.Sub(agent.attempt.startedAt) < agent.timeout
}

// Majority returns the size of the smallest majority of count acceptors. Any two majorities share a member.
func Majority(count int) int { return count/2 + 1 }

func (agent *Agent) addressOf(member *wire.Member) string {
	if address := agent.resolve(member.Id); address != "" {
		return address
	}
	return member.Address
}
