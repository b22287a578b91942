package controller

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// leases are what the head of the present view has granted and its acceptors have confirmed.
type leases struct {
	// term is for how long a grant or a confirmation counts, from its request.
	term          time.Duration
	configuration *configuration
	// view is the newest view that this daemon knows; empty at first.
	view *wire.View
	// ready is set once the head granted a lease, or a majority confirmed the configuration, in this process's lifetime.
	ready bool
	// grantedUntil is when the lease that the head granted ends.
	grantedUntil time.Time
	// confirmations are the latest ones of the present view's acceptors, by their ids.
	confirmations map[string]confirmation
	// lastEnd is when the last lease ends or ended, whoever stood for it.
	lastEnd time.Time
}

// confirmation is an acceptor's response that it knows of nothing newer than a sequence, and when it was requested.
type confirmation struct {
	requested time.Time
	sequence  uint64
}

// newLeases returns the state of a daemon that holds no lease and knows no view.
func newLeases(term time.Duration, configuration *configuration) *leases {
	return &leases{
		term:          term,
		configuration: configuration,
		view:          &wire.View{},
		confirmations: map[string]confirmation{},
	}
}

// adoptView follows a newer view and reports whether it is one.
func (leases *leases) adoptView(newer *wire.View) bool {
	if newer.GetEpoch() <= leases.view.Epoch {
		return false
	}
	// The previous view's acceptors are no majority of this one's. What they have confirmed so far counts to its end,
	// which the head of the next view waits for.
	leases.grantedUntil = leases.until()
	leases.view, leases.confirmations = newer, map[string]confirmation{}
	return true
}

// head returns the head of the present view; nil if the view is empty.
func (leases *leases) head() *wire.Member {
	if len(leases.view.Chain) == 0 {
		return nil
	}
	return leases.view.Chain[0]
}

// isHead reports whether an address is that of the head of the present view.
func (leases *leases) isHead(address string) bool {
	head := leases.head()
	return head != nil && head.Address == address
}

// isAcceptor reports whether an id is that of an acceptor of the present view.
func (leases *leases) isAcceptor(id string) bool {
	for _, member := range leases.view.Acceptors {
		if member.Id == id {
			return true
		}
	}
	return false
}

// grant extends the head's lease by one of a term that was requested at a moment.
func (leases *leases) grant(requested time.Time, term time.Duration) {
	leases.grantedUntil = later(leases.grantedUntil, requested.Add(term))
}

// confirm records an acceptor's confirmation. A daemon that started without a head is ready once a majority has
// confirmed its configuration.
func (leases *leases) confirm(now time.Time, acceptor string, confirmed confirmation) {
	if confirmed.requested.After(leases.confirmations[acceptor].requested) {
		leases.confirmations[acceptor] = confirmed
	}
	if leases.configuration.sequence > 0 && now.Before(leases.confirmedUntil()) {
		leases.ready = true
	}
}

// until returns until when this daemon holds a lease, granted by the head or confirmed by the acceptors.
func (leases *leases) until() time.Time { return later(leases.grantedUntil, leases.confirmedUntil()) }

// confirmedUntil returns until when a majority of the acceptors stands for the configuration that this daemon has.
func (leases *leases) confirmedUntil() time.Time {
	requested := make([]time.Time, 0, len(leases.confirmations))
	for _, confirmation := range leases.confirmations {
		if confirmation.sequence <= leases.configuration.sequence {
			requested = append(requested, confirmation.requested)
		}
	}
	needed := view.Majority(len(leases.view.Acceptors))
	if len(leases.view.Acceptors) == 0 || len(requested) < needed {
		return time.Time{}
	}
	sort.Slice(requested, func(left, right int) bool { return requested[left].After(requested[right]) })
	return requested[needed-1].Add(leases.term)
}

// recordEnd keeps the end of the present lease for the time after it.
func (leases *leases) recordEnd() { leases.lastEnd = later(leases.lastEnd, leases.until()) }

// later returns the later of two moments.
func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// earlier returns the earlier of two moments.
func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
