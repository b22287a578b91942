package load

import (
	"sort"
	"time"

	"wardtray/wire"
)

// States of a runner in the platform's list.
const (
	stateReady = "ready"
	// stateCold is that of a runner that still loads its weights or caches.
	stateCold     = "cold"
	stateDraining = "draining"
)

// drainedRetention is for how long a runner that drained is remembered after it was last listed so.
const drainedRetention = time.Hour

// acceptsRequests reports whether a runner in this state may be sent requests.
func acceptsRequests(state string) bool {
	return state == stateReady || state == stateCold
}

// UpdateListing takes over the platform's list. It returns the runners that it removed, ordered by ID: those
// that are no longer listed and have no request of ours.
func (table *Table) UpdateListing(now time.Time, runners []*wire.Runner) (removed []string) {
	listed := map[string]bool{}
	for _, listing := range runners {
		listed[listing.RunnerId] = true
		table.listRunner(now, listing)
	}
	for _, shard := range table.shards {
		removed = append(removed, shard.removeUnlisted(now, listed)...)
	}
	sort.Strings(removed)
	return removed
}

// listRunner takes over one runner of the platform's list.
func (table *Table) listRunner(now time.Time, listing *wire.Runner) {
	shard := table.shard(listing.RunnerId)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.entries[listing.RunnerId]
	if known == nil {
		// A daemon that has just started sees every runner for the first time, which does not make them cold.
		starting := now.Sub(table.started) < startupGrace
		known = &entry{slowStart: slowStart{completed: starting && listing.State == stateReady}}
		shard.entries[listing.RunnerId] = known
	}
	known.listing, known.listed = shard.withDraining(now, listing), true
	if known.listing.State == stateReady {
		known.slowStart.ready(now)
	}
}

// withDraining returns the listing, with the state draining if the runner was ever listed as draining: such a runner
// comes back under another ID only, and a list that says otherwise is an older one.
func (shard *shard) withDraining(now time.Time, listing *wire.Runner) *wire.Runner {
	if listing.State == stateDraining {
		shard.drained[listing.RunnerId] = now
		return listing
	}
	if _, drained := shard.drained[listing.RunnerId]; !drained {
		return listing
	}
	return &wire.Runner{
		RunnerId: listing.RunnerId,
		Address:  listing.Address,
		Zone:     listing.Zone,
		Service:  listing.Service,
		State:    stateDraining,
	}
}

// removeUnlisted removes the runners that are not listed and have no request of ours, and returns their IDs. It also
// forgets which runners drained long ago.
func (shard *shard) removeUnlisted(now time.Time, listed map[string]bool) (removed []string) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for id, at := range shard.drained {
		if now.Sub(at) > drainedRetention {
			delete(shard.drained, id)
		}
	}
	for id, entry := range shard.entries {
		if listed[id] {
			continue
		}
		entry.listed = false
		if entry.requests.total == 0 {
			delete(shard.entries, id)
			removed = append(removed, id)
		}
	}
	return removed
}
