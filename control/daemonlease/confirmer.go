package daemonlease

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/chain"
	"wardtray/coordination/lease"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// Confirmer runs on an acceptor. It confirms to daemons that the acceptor knows of no document newer than theirs. A
// daemon that holds the confirmations of a majority may serve as if it held a lease of the head.
type Confirmer struct {
	self    string
	agent   *view.Agent
	chain   *chain.Chain
	witness *lease.Witness
	// durableAtStart is the newest sequence that was on disk when this process started.
	durableAtStart uint64
}

// NewConfirmer returns the confirmer of a process that has just started, with the history recovered from its disk.
func NewConfirmer(self string, agent *view.Agent, history *chain.Chain, witness *lease.Witness) *Confirmer {
	return &Confirmer{self: self, agent: agent, chain: history, witness: witness,
		durableAtStart: newestSequence(history.Committed(), history.Pending())}
}

// Confirm reports whether the acceptor confirms to a daemon that it knows of nothing newer, and records the
// confirmation. isMember states whether the daemon is in the newest known directory. An acceptor that has voted for the
// next view neither confirms to daemons nor grants the head a lease in the current view. So no daemon can get a
// majority of confirmations in a view once the next view is chosen.
func (confirmer *Confirmer) Confirm(now time.Time, address string, request *wire.DaemonLeaseRequest,
	isMember bool) bool {
	if !isMember || !confirmer.mayConfirm(request.View) {
		confirmer.witness.ObserveDaemon(address, request.Sequence)
		return false
	}
	// The history may have been truncated since the start: a sequence that it no longer holds does not count.
	durable := min(confirmer.durableAtStart, newestSequence(confirmer.chain.Committed(), confirmer.chain.Pending()))
	return confirmer.witness.Confirm(now, address, request.Sequence, durable)
}

// mayConfirm reports whether the view with an epoch is the current and newest known one, and this process is one of its
// acceptors and has not voted for the next view.
func (confirmer *Confirmer) mayConfirm(epoch uint64) bool {
	current := confirmer.agent.Current()
	return epoch == current.Epoch && confirmer.agent.Newest().Epoch == current.Epoch && !confirmer.agent.Voted() &&
		membership.IsAcceptor(current, confirmer.self)
}

// newestSequence returns the newest sequence of a history, whether committed or pending.
func newestSequence(committed *wire.Document, pending []*wire.Entry) uint64 {
	if count := len(pending); count > 0 {
		return pending[count-1].Sequence
	}
	return committed.GetSequence()
}
