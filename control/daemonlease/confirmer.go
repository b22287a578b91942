package daemonlease

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/chain"
	"wardtray/coordination/lease"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// Confirmer is an acceptor's part: it confirms to daemons that it knows of nothing newer than what they have. The
// confirmations of a majority stand for a lease of the head's.
type Confirmer struct {
	self    string
	agent   *view.Agent
	chain   *chain.Chain
	witness *lease.Witness
	// durableAtStart is the newest sequence that was on disk when this process started.
	durableAtStart uint64
}

// NewConfirmer returns the acceptor's part of a process that has just started, with the history on its disk.
func NewConfirmer(self string, agent *view.Agent, history *chain.Chain, witness *lease.Witness) *Confirmer {
	return &Confirmer{self: self, agent: agent, chain: history, witness: witness,
		durableAtStart: newestSequence(history.Committed(), history.Pending())}
}

// Confirm reports whether a daemon may be told that nothing newer is known, and remembers that it was; isMember says
// whether the daemon is in the newest directory that is known. An acceptor that has voted for the next view confirms
// nothing in this one, as it grants no lease to the head: a daemon's majority in this view so ends when the next one is
// chosen.
func (confirmer *Confirmer) Confirm(now time.Time, address string, request *wire.DaemonLeaseRequest,
	isMember bool) bool {
	if !isMember || !confirmer.mayConfirm(request.View) {
		confirmer.witness.ObserveDaemon(address, request.Sequence)
		return false
	}
	// What the disk held at the start counts only as far as the history still has it.
	durable := min(confirmer.durableAtStart, newestSequence(confirmer.chain.Committed(), confirmer.chain.Pending()))
	return confirmer.witness.Confirm(now, address, request.Sequence, durable)
}

// mayConfirm reports whether this process is an acceptor of a view that is the present and newest one, and has not
// voted for the next.
func (confirmer *Confirmer) mayConfirm(epoch uint64) bool {
	current := confirmer.agent.Current()
	return epoch == current.Epoch && confirmer.agent.Newest().Epoch == current.Epoch && !confirmer.agent.Voted() &&
		membership.IsAcceptor(current, confirmer.self)
}

// newestSequence returns the newest sequence of a history, committed or not.
func newestSequence(committed *wire.Document, pending []*wire.Entry) uint64 {
	if count := len(pending); count > 0 {
		return pending[count-1].Sequence
	}
	return committed.GetSequence()
}
