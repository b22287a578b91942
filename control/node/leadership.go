package node

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/lease"
	"wardtray/coordination/quota"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// headState is what the head of the chain keeps for as long as it leads.
type headState struct {
	// When this machine first held the claim in its term as head, the view in which that term began, and up
	// to where history must be committed before it may promise anything.
	started     time.Time
	term        uint64
	mark        uint64
	waiters     []*waiter
	parked      []parked
	daemons     map[string]*daemon
	firstDaemon time.Time
	refused     refusals
	// ledger is what the acceptors told of the sequences that they know.
	ledger *lease.ProgressTracker
	// When recent sequences were first seen committed here.
	commits map[uint64]time.Time
	// issuer divides the tenants' quotas, by the limits of the spec of an epoch; nil until a daemon first asks.
	issuer      *quota.Allocator
	limitsEpoch uint64
}

func (node *Node) tendClaim(now time.Time) {
	current := node.agent.Current()
	valid := node.holder.Valid(now, current.Epoch)
	if !node.chain.Head() || now.Sub(node.lastClaim) < claimAgain || valid && now.Sub(node.lastClaim) < claimEvery {
		return
	}
	node.lastClaim = now
	ask := &wire.LeaderLeaseRequest{View: current.Epoch, Nonce: node.holder.Ask(now, current.Epoch)}
	// A head whose own history is not settled does not know yet what was acknowledged before it.
	if node.leading(now) {
		ask.Committed = node.chain.Committed().Sequence
	}
	for _, acceptor := range current.Acceptors {
		node.outbox.Send(node.detector.AddressOf(acceptor), &wire.Envelope{Body: &wire.Envelope_LeaderLeaseRequest{LeaderLeaseRequest: ask}})
	}
}

func (node *Node) onClaimAsk(now time.Time, envelope *wire.Envelope, message *wire.LeaderLeaseRequest) {
	current := node.agent.Current()
	if message.View < current.Epoch {
		node.agent.Tell(envelope.From)
		return
	}
	if message.View != current.Epoch || !membership.IsAcceptor(current, node.self.Id) || current.Chain[0].Id != envelope.Sender {
		return
	}
	if message.Committed > 0 {
		node.witness.Told(message.Committed)
	}
	if !node.keeper.Allows(now, node.agent.Voted()) {
		return
	}
	known := node.witness.Known()
	outstanding := node.witness.Outstanding(now, known)
	node.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_LeaderLeaseGrant{LeaderLeaseGrant: &wire.LeaderLeaseGrant{
		View: message.View, Nonce: message.Nonce, KnownSequence: known, ConfirmedMilliseconds: roundedUp(outstanding)}}})
}

// tendKeeping seeks proof that the heads before this term act no more, and notes on the disk that none does,
// so that a acceptor that restarts may grant at once.
func (node *Node) tendKeeping(now time.Time) {
	current := node.agent.Current()
	if !membership.IsAcceptor(current, node.self.Id) {
		return
	}
	for _, address := range node.keeper.Rivals(now) {
		node.agent.Tell(address)
	}
	if term := node.keeper.Term(); term != node.cleared && node.keeper.Allows(now, false) {
		node.cleared = term
		node.outbox.Persist(now, &wire.Record{Body: &wire.Record_ClearedTerm{ClearedTerm: term}}, func(time.Time) {})
	}
}

// leading tells whether this machine may act as head at this moment: in the chain's first place,
// under a valid claim, with everything it found there committed.
func (node *Node) leading(now time.Time) bool {
	current := node.agent.Current()
	// Others act by a newer view as soon as this machine says that it has heard of it.
	if !node.chain.Head() || node.agent.Newest().Epoch > current.Epoch || !node.holder.Valid(now, current.Epoch) {
		return false
	}
	// A claim that runs out for a while lets nobody else act; only a new term does.
	if node.head.started.IsZero() {
		node.head.started, node.head.mark = now, node.chain.Latest().Sequence
		node.head.daemons = map[string]*daemon{}
		node.head.firstDaemon = time.Time{}
		node.head.issuer = nil
		node.head.commits = map[uint64]time.Time{}
	}
	return node.chain.Committed().Sequence >= node.head.mark
}

// roundedUp gives a length of time in whole milliseconds, never less than it is.
func roundedUp(length time.Duration) uint32 {
	return uint32((length + time.Millisecond - 1) / time.Millisecond)
}

// onClaimGrant takes in a acceptor's grant and its word on what it knows to be committed.
func (node *Node) onClaimGrant(now time.Time, acceptor string, message *wire.LeaderLeaseGrant) {
	current := node.agent.Current()
	if !membership.IsAcceptor(current, acceptor) {
		return
	}
	node.holder.Grant(now, acceptor, message.View, message.Nonce, view.Majority(len(current.Acceptors)))
	node.head.ledger.Note(acceptor, message.KnownSequence, now.Add(time.Duration(message.ConfirmedMilliseconds)*time.Millisecond))
	node.answerWaiters(now)
}
