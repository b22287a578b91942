// Package leadership is the exclusive right of the chain's head to act: a short lease that a majority of acceptors
// grants in the present view (Leadership), and the acceptors' side of it (Grantor).
package leadership

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/chain"
	"wardtray/coordination/lease"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	// RenewInterval is how often a head renews a lease that it holds.
	RenewInterval = 200 * time.Millisecond
	// RetryInterval is how often a head without a lease requests one.
	RetryInterval = 40 * time.Millisecond
)

// Leadership is the head's side: it holds the lease, and knows since when and up to where its term counts.
type Leadership struct {
	agent     *view.Agent
	chain     *chain.Chain
	outbox    *statemachine.Outbox
	addressOf func(member *wire.Member) string
	// onStart runs when this process first holds the lease as head of a term.
	onStart func()

	lessee      *lease.Lessee
	lastRequest time.Time
	// term is the view in which the present head's term began.
	term uint64
	// started is when this process first held the lease in its term as head; zero if it has not.
	started time.Time
	// watermark is up to where the history must be committed before this process may promise anything.
	watermark uint64
}

// New returns the head's side of a process. Nonce numbers its first request; it must differ between incarnations.
// onStart runs once in each term, when this process first holds the lease as head, before IsLeading returns true.
func New(nonce uint64, agent *view.Agent, history *chain.Chain, outbox *statemachine.Outbox,
	addressOf func(member *wire.Member) string, onStart func()) *Leadership {
	return &Leadership{agent: agent, chain: history, outbox: outbox, addressOf: addressOf, onStart: onStart,
		lessee: lease.NewLessee(nonce)}
}

// Adopt handles that another view is agreed on; a new term must be started anew.
func (leadership *Leadership) Adopt(current *wire.View) {
	if current.HeadTerm != leadership.term {
		leadership.started, leadership.term = time.Time{}, current.HeadTerm
	}
}

// ExpediteRequest makes the next request due at once.
func (leadership *Leadership) ExpediteRequest() { leadership.lastRequest = time.Time{} }

// Tick requests the lease from every acceptor if this process is head and a request is due.
func (leadership *Leadership) Tick(now time.Time) {
	if !leadership.chain.IsHead() || !leadership.isRequestDue(now) {
		return
	}
	leadership.lastRequest = now
	current := leadership.agent.Current()
	request := &wire.LeaderLeaseRequest{View: current.Epoch, Nonce: leadership.lessee.Request(now, current.Epoch)}
	// A head whose own history is not committed yet does not know what was acknowledged before it.
	if leadership.IsLeading(now) {
		request.Committed = leadership.chain.Committed().Sequence
	}
	for _, acceptor := range current.Acceptors {
		leadership.outbox.Send(leadership.addressOf(acceptor),
			&wire.Envelope{Body: &wire.Envelope_LeaderLeaseRequest{LeaderLeaseRequest: request}})
	}
}

func (leadership *Leadership) isRequestDue(now time.Time) bool {
	interval := RetryInterval
	if leadership.HoldsLease(now) {
		interval = RenewInterval
	}
	return now.Sub(leadership.lastRequest) >= interval
}

// HandleGrant handles an acceptor's grant, and reports whether the sender is an acceptor of the present view.
func (leadership *Leadership) HandleGrant(now time.Time, sender string, grant *wire.LeaderLeaseGrant) bool {
	current := leadership.agent.Current()
	if !membership.IsAcceptor(current, sender) {
		return false
	}
	leadership.lessee.AddGrant(now, sender, grant.View, grant.Nonce, view.Majority(len(current.Acceptors)))
	leadership.startTerm(now)
	return true
}

// startTerm starts the term if this process holds the lease as head for the first time in it. Every view needs a lease
// of its own, so only a grant can bring this about.
func (leadership *Leadership) startTerm(now time.Time) {
	// A lease that expires for a while lets nobody else act; only a new term does.
	if !leadership.mayAct(now) || !leadership.started.IsZero() {
		return
	}
	leadership.started, leadership.watermark = now, leadership.chain.Watermark()
	leadership.onStart()
}

// HoldsLease reports whether this process holds the lease of the present view.
func (leadership *Leadership) HoldsLease(now time.Time) bool {
	return leadership.lessee.Valid(now, leadership.agent.Current().Epoch)
}

// IsLeading reports whether this process may act as head at this moment: it is the chain's head, holds the lease, and
// all that its history held when its term started is committed, as far as the chain commits it at its present length.
func (leadership *Leadership) IsLeading(now time.Time) bool {
	hasStarted := !leadership.started.IsZero()
	watermark := min(leadership.watermark, leadership.chain.Watermark())
	return leadership.mayAct(now) && hasStarted && leadership.chain.Committed().Sequence >= watermark
}

// mayAct reports whether this process is the chain's head and holds the lease of the newest view that it knows of.
func (leadership *Leadership) mayAct(now time.Time) bool {
	// Others act by a newer view as soon as this process says that it has learned of it.
	isOutdated := leadership.agent.Newest().Epoch > leadership.agent.Current().Epoch
	return leadership.chain.IsHead() && !isOutdated && leadership.HoldsLease(now)
}

// Started returns when this process first held the lease in the present term as head; zero if it has not.
func (leadership *Leadership) Started() time.Time { return leadership.started }
