// Package leadership implements the lease that gives the chain's head the exclusive right to act: a majority of the
// acceptors of the current view grants it for a short time. Leadership is the head's side, Grantor the acceptors'.
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
	// RenewInterval is the time between requests of a head that holds the lease.
	RenewInterval = 200 * time.Millisecond
	// RetryInterval is the time between requests of a head that does not hold the lease.
	RetryInterval = 40 * time.Millisecond
)

// Leadership is the head's side: it requests the lease, and tracks when this process first held it in the current term.
type Leadership struct {
	agent     *view.Agent
	chain     *chain.Chain
	outbox    *statemachine.Outbox
	addressOf func(member *wire.Member) string
	// onStart runs once in each term, when this process first holds the lease as head.
	onStart func()

	lessee      *lease.Lessee
	lastRequest time.Time
	// term is the epoch of the view in which the present head's term began.
	term uint64
	// started is the time at which this process first held the lease as head in this term; zero if it has not.
	started time.Time
	// watermark is the sequence up to which the history must be committed before this process may act as head.
	watermark uint64
}

// New returns the head's side of a process. The nonce identifies its first request and must differ between
// incarnations. onStart runs once in each term, when this process first holds the lease as head, before IsLeading
// returns true.
func New(nonce uint64, agent *view.Agent, history *chain.Chain, outbox *statemachine.Outbox,
	addressOf func(member *wire.Member) string, onStart func()) *Leadership {
	return &Leadership{agent: agent, chain: history, outbox: outbox, addressOf: addressOf, onStart: onStart,
		lessee: lease.NewLessee(nonce)}
}

// Adopt handles a newly agreed view. If it begins a new term, this process must acquire the lease in it to start it.
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
	// A head whose history is not committed yet does not know which changes an earlier head acknowledged, so it reports no
	// committed sequence.
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

// HandleGrant handles a grant, and reports whether its sender is an acceptor of the current view.
func (leadership *Leadership) HandleGrant(now time.Time, sender string, grant *wire.LeaderLeaseGrant) bool {
	current := leadership.agent.Current()
	if !membership.IsAcceptor(current, sender) {
		return false
	}
	leadership.lessee.AddGrant(now, sender, grant.View, grant.Nonce, view.Majority(len(current.Acceptors)))
	leadership.startTerm(now)
	return true
}

// startTerm starts the term if this process holds the lease as head for the first time in it. A lease is valid in one
// view only, so only a grant can start a term.
func (leadership *Leadership) startTerm(now time.Time) {
	// A term starts only once: while the lease has expired, nobody else may act without a new term.
	if !leadership.mayAct(now) || !leadership.started.IsZero() {
		return
	}
	leadership.started, leadership.watermark = now, leadership.chain.Watermark()
	leadership.onStart()
}

// HoldsLease reports whether this process holds the lease of the current view.
func (leadership *Leadership) HoldsLease(now time.Time) bool {
	return leadership.lessee.Valid(now, leadership.agent.Current().Epoch)
}

// IsLeading reports whether this process may act as head at this moment: it is the chain's head, holds the lease, and
// has committed everything that its history held when its term started. Entries that the chain cannot commit because
// it is shorter than its minimum do not count.
func (leadership *Leadership) IsLeading(now time.Time) bool {
	hasStarted := !leadership.started.IsZero()
	watermark := min(leadership.watermark, leadership.chain.Watermark())
	return leadership.mayAct(now) && hasStarted && leadership.chain.Committed().Sequence >= watermark
}

// mayAct reports whether this process is the chain's head and holds the lease of the newest view that it knows.
func (leadership *Leadership) mayAct(now time.Time) bool {
	// Others may act under a newer view as soon as this process has announced that it learned of it.
	isOutdated := leadership.agent.Newest().Epoch > leadership.agent.Current().Epoch
	return leadership.chain.IsHead() && !isOutdated && leadership.HoldsLease(now)
}

// Started returns the time at which this process first held the lease as head in the current term; zero if it has not.
func (leadership *Leadership) Started() time.Time { return leadership.started }
