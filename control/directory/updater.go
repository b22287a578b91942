package directory

import (
	"sort"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/coordination/chain"
	"wardtray/wire"
)

// firstDirectoryDelay is for how long a head gathers daemons for a fleet's first directory.
const firstDirectoryDelay = 300 * time.Millisecond

// Counters are what an updater counts.
type Counters struct {
	// Refused counts changes that the chain did not take.
	Refused uint64
}

// Updater changes the directory as head: it lets daemons in, and those long missing out.
type Updater struct {
	chain    *chain.Chain
	leases   *daemonlease.Leases
	counters Counters
}

// NewUpdater returns an updater that goes by the leases of this process.
func NewUpdater(history *chain.Chain, leases *daemonlease.Leases) *Updater {
	return &Updater{chain: history, leases: leases}
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
	isUnchanged := len(arrivals) == 0 && len(remaining) == len(document.Directory)
	if isUnchanged || !updater.leases.IsDelivered(leader, document.Sequence) {
		return
	}
	if len(document.Directory) == 0 && leader.Now.Sub(updater.leases.FirstRequest()) < firstDirectoryDelay {
		return
	}
	next := append(remaining, arrivals...)
	sort.Slice(next, func(left, right int) bool { return next[left].Address < next[right].Address })
	if updater.chain.Submit(leader.Now, &wire.Entry{Directory: next, SpecEpoch: document.SpecEpoch}) != nil {
		updater.counters.Refused++ // The next tick tries again.
	}
}
