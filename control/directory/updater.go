package directory

import (
	"sort"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/coordination/chain"
	"wardtray/wire"
)

const (
	// firstDirectoryDelay is the time for which a head collects daemons for a fleet's first directory.
	firstDirectoryDelay = 300 * time.Millisecond
	// firstReservationsDelay is the time for which a head waits for daemons that make reservations, so that the first
	// directory can come with a reservation membership.
	firstReservationsDelay = 2 * time.Second
)

// Counters are the counters of an updater.
type Counters struct {
	// Refused counts changes that the chain refused.
	Refused uint64
}

// Updater changes the directory at the head: it adds new daemons and removes those that have been silent for long. It
// also changes which daemons hold reservations.
type Updater struct {
	chain    *chain.Chain
	leases   *daemonlease.Leases
	replicas *replicaPlanner
	counters Counters
}

// NewUpdater returns an updater that uses the leases of this process. mayReserve reports whether every control machine
// supports reservations.
func NewUpdater(history *chain.Chain, leases *daemonlease.Leases, mayReserve func() bool) *Updater {
	return &Updater{chain: history, leases: leases, replicas: &replicaPlanner{leases: leases, mayStart: mayReserve}}
}

// Counters returns the current counters.
func (updater *Updater) Counters() Counters { return updater.counters }

// Tick submits a change of the directory if one is due; this process must be leading. A change is submitted only when
// the last one is delivered, so that no daemon of the old or the new directory can hold a lease on an older document.
func (updater *Updater) Tick(leader daemonlease.DeliveryContext) {
	if len(updater.chain.Pending()) > 0 {
		return
	}
	document := updater.chain.Committed()
	joining := updater.leases.JoiningDaemons(leader.Now, document.Directory)
	remaining := updater.leases.ExcludeMissing(leader.Now, leader.Since, document.Directory)
	reservations := updater.replicas.next(leader, document)
	isUnchanged := len(joining) == 0 && len(remaining) == len(document.Directory) && reservations == nil
	if isUnchanged || !updater.leases.IsDelivered(leader, document.Sequence) {
		return
	}
	if len(document.Directory) == 0 && !updater.isFirstDirectoryDue(leader.Now, reservations != nil) {
		return
	}
	next := append(remaining, joining...)
	sort.Slice(next, func(left, right int) bool { return next[left].Address < next[right].Address })
	entry := &wire.Entry{Directory: next, SpecEpoch: document.SpecEpoch, Reservations: reservations}
	if updater.chain.Submit(leader.Now, entry) != nil {
		updater.counters.Refused++ // The next tick tries again.
	}
}

// isFirstDirectoryDue reports whether a fleet's first directory may be submitted. If daemons make reservations, it
// should come with a reservation membership: before the first directory nothing can have run, so that membership is
// complete from the beginning.
func (updater *Updater) isFirstDirectoryDue(now time.Time, hasReservations bool) bool {
	age := now.Sub(updater.leases.FirstRequest())
	if updater.leases.AnyReserves() && !hasReservations {
		return age >= firstReservationsDelay
	}
	return age >= firstDirectoryDelay
}
