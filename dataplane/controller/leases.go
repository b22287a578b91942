package controller

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// leases holds the lease granted by the head of the current view and the confirmations of the view's acceptors.
type leases struct {
	// term is the duration of a grant or a confirmation, from its request.
	term          time.Duration
	configuration *configuration
	// view is the newest view that this daemon has received; empty at first.
	view *wire.View
	// ready is set once the head granted a lease, or a majority confirmed the configuration, in this process's lifetime.
	ready bool
	// grantedUntil is the end of the lease that the head granted.
	grantedUntil time.Time
	// confirmations holds the latest confirmation of each acceptor of the current view, by the acceptor's id.
	confirmations map[string]confirmation
	// lastEnd is the end of the latest lease, granted or confirmed.
	lastEnd time.Time
}

// confirmation is an acceptor's response that it has no document newer than sequence, and the time of the request.
type confirmation struct {
	requested time.Time
	sequence  uint64
}

// newLeases returns the state of a daemon that has neither a lease nor a view.
func newLeases(term time.Duration, configuration *configuration) *leases {
	return &leases{
		term:          term,
		configuration: configuration,
		view:          &wire.View{},
		confirmations: map[string]confirmation{},
	}
}

// adoptView adopts a view if it is newer, and reports whether it is.
func (leases *leases) adoptView(newer *wire.View) bool {
	if newer.GetEpoch() <= leases.view.Epoch {
		return false
	}
	// A majority of the previous view's acceptors need not be a majority of this view's. Their earlier confirmations stay
	// valid to their end, for which the head of the next view waits.
	leases.grantedUntil = leases.until()
	leases.view, leases.confirmations = newer, map[string]confirmation{}
	return true
}

// head returns the head of the current view's chain, or nil if the view is empty.
func (leases *leases) head() *wire.Member {
	if len(leases.view.Chain) == 0 {
		return nil
	}
	return leases.view.Chain[0]
}

// isHead reports whether an address is that of the head of the current view.
func (leases *leases) isHead(address string) bool {
	head := leases.head()
	return head != nil && head.Address == address
}

// isAcceptor reports whether an id is that of an acceptor of the current view.
func (leases *leases) isAcceptor(id string) bool {
	for _, member := range leases.view.Acceptors {
		if member.Id == id {
			return true
		}
	}
	return false
}

// grant records a lease of the head with a term and the time of its request. It never shortens the current lease.
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

// until returns the end of this daemon's lease, granted by the head or confirmed by the acceptors.
func (leases *leases) until() time.Time { return later(leases.grantedUntil, leases.confirmedUntil()) }

// confirmedUntil returns the time until which a majority of the acceptors has confirmed this daemon's configuration, or
// the zero time if no majority has.
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

// recordEnd records the end of the current lease in lastEnd.
func (leases *leases) recordEnd() { leases.lastEnd = later(leases.lastEnd, leases.until()) }

// later returns the later of two times.
func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// earlier returns the earlier of two times.
func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
