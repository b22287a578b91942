package load

import (
	"sort"
	"time"

	"wardtray/wire"
)

// The states of a runner in the platform's runner list.
const (
	stateReady = "ready"
	// stateCold is the state of a runner that is still loading its weights or caches.
	stateCold     = "cold"
	stateDraining = "draining"
)

// drainedRetention is the retention period of a draining runner's ID after the runner was last listed as draining.
const drainedRetention = time.Hour

// acceptsRequests reports whether a runner in this state may be sent requests.
func acceptsRequests(state string) bool {
	return state == stateReady || state == stateCold
}

// UpdateListing applies the platform's runner list. It removes the runners that are no longer listed and have no
// requests of this daemon, and returns their IDs in order.
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

// listRunner adds or updates one runner of the platform's list.
func (table *Table) listRunner(now time.Time, listing *wire.Runner) {
	shard := table.shard(listing.RunnerId)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.entries[listing.RunnerId]
	if known == nil {
		// A daemon that has just started sees every runner for the first time; ready runners need no slow start then.
		starting := now.Sub(table.started) < startupGrace
		known = &entry{slowStart: slowStart{completed: starting && listing.State == stateReady}}
		shard.entries[listing.RunnerId] = known
	}
	known.listing, known.listed = shard.withDraining(now, listing), true
	if known.listing.State == stateReady {
		known.slowStart.ready(now)
	}
}

// withDraining returns the listing, with the state draining if the runner was listed as draining within
// drainedRetention. A drained runner returns only under another ID, so a list that shows it as ready is outdated.
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

// removeUnlisted removes the runners that are not listed and have no requests of this daemon, and returns their IDs. It
// also deletes the records of drained runners that are older than drainedRetention.
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
