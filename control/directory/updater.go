package directory

import (
	"sort"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/coordination/chain"
	"wardtray/wire"
)

const (
	// firstDirectoryDelay is for how long a head gathers daemons for a fleet's first directory.
	firstDirectoryDelay = 300 * time.Millisecond
	// firstReservationsDelay is for how long it waits until these daemons can hold reservations from the beginning.
	firstReservationsDelay = 2 * time.Second
)

// Counters are what an updater counts.
type Counters struct {
	// Refused counts changes that the chain did not take.
	Refused uint64
}

// Updater changes the directory as head: it lets daemons in, and those long missing out. It also changes who of them
// holds reservations.
type Updater struct {
	chain    *chain.Chain
	leases   *daemonlease.Leases
	replicas *replicaPlanner
	counters Counters
}

// NewUpdater returns an updater that goes by the leases of this process. mayReserve reports whether every control
// machine knows of reservations.
func NewUpdater(history *chain.Chain, leases *daemonlease.Leases, mayReserve func() bool) *Updater {
	return &Updater{chain: history, leases: leases, replicas: &replicaPlanner{leases: leases, mayStart: mayReserve}}
}

// Counters returns what was counted.
func (updater *Updater) Counters() Counters { return updater.counters }

// Tick enters a change of the directory where one is due; this process must be leading. The next change enters only
// when the last is delivered: no daemon of the old or the new directory can hold a lease on an older document.
func (updater *Updater) Tick(leader daemonlease.DeliveryContext) {
	if len(updater.chain.Pending()) > 0 {
		return
	}
	document := updater.chain.Committed()
	arrivals := updater.leases.Arrivals(leader.Now, document.Directory)
	remaining := updater.leases.ExcludeMissing(leader.Now, leader.Since, document.Directory)
	reservations := updater.replicas.next(leader, document)
	isUnchanged := len(arrivals) == 0 && len(remaining) == len(document.Directory) && reservations == nil
	if isUnchanged || !updater.leases.IsDelivered(leader, document.Sequence) {
		return
	}
	if len(document.Directory) == 0 && !updater.mayFound(leader.Now, reservations != nil) {
		return
	}
	next := append(remaining, arrivals...)
	sort.Slice(next, func(left, right int) bool { return next[left].Address < next[right].Address })
	entry := &wire.Entry{Directory: next, SpecEpoch: document.SpecEpoch, Reservations: reservations}
	if updater.chain.Submit(leader.Now, entry) != nil {
		updater.counters.Refused++ // The next tick tries again.
	}
}

// mayFound reports whether a fleet's first directory may be entered. Where daemons make reservations it should say who
// holds them, since before it nothing can have run.
func (updater *Updater) mayFound(now time.Time, hasReservations bool) bool {
	age := now.Sub(updater.leases.FirstRequest())
	if updater.leases.AnyReserves() && !hasReservations {
		return age >= firstReservationsDelay
	}
	return age >= firstDirectoryDelay
}
