// Package load is what one daemon knows of the runners: which are listed, how loaded each seems, how far one in slow
// start may be used, and which are ejected for now. It sends nothing and reads no clock; callers report what happened
// and pass the time. State is divided by runner into shards, each under its own lock, and a Table is safe for
// concurrent use.
package load

import (
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"wardtray/features"
	"wardtray/wire"
)

const (
	// shardCount is the number of locks that the runners are divided among.
	shardCount = 8
	// initialSlots is the number of slots of a runner that has told none.
	initialSlots = 4
)

// Table is what a daemon knows of all runners.
type Table struct {
	// self is the address of the daemon.
	self    string
	started time.Time
	shards  [shardCount]*shard
	// Without names the mechanisms that are switched off.
	Without  features.Set
	services serviceTable
}

// shard holds the entries of its share of the runners, by their IDs.
type shard struct {
	mutex   sync.Mutex
	entries map[string]*entry
	// drained is when runners were last listed as draining.
	drained map[string]time.Time
}

// entry is what is known of one runner.
type entry struct {
	// listing is what the platform's list last said of the runner.
	listing *wire.Runner
	// listed is false once the list no longer names it.
	listed    bool
	requests  inFlightRequests
	estimate  loadEstimate
	ejection  ejection
	slowStart slowStart
	// failedReports counts the reports that failed since the last good one.
	failedReports int
}

// NewTable returns an empty table for the daemon at an address, which started now.
func NewTable(now time.Time, self string) *Table {
	table := &Table{self: self, started: now, services: serviceTable{services: map[string]service{}}}
	for index := range table.shards {
		table.shards[index] = &shard{entries: map[string]*entry{}, drained: map[string]time.Time{}}
	}
	return table
}

func (table *Table) shard(runner string) *shard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(runner)) // Writing to a hash can't fail.
	return table.shards[hash.Sum32()%shardCount]
}

// update calls change with the entry of a runner, if there is one, under its shard's lock.
func (table *Table) update(runner string, change func(entry *entry)) {
	shard := table.shard(runner)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if entry := shard.entries[runner]; entry != nil {
		change(entry)
	}
}

// Runners returns every known runner as it seems now, ordered by ID. The use of a runner in slow start is
// divided among the daemons, which are given by their addresses.
func (table *Table) Runners(now time.Time, daemons []string) []Runner {
	return table.runners(now, daemons, func(*entry) bool { return true })
}

// Lookup returns one runner as it seems now, and whether it is known.
func (table *Table) Lookup(now time.Time, runner string, daemons []string) (found Runner, known bool) {
	table.update(runner, func(entry *entry) { found, known = table.view(now, entry, daemons), true })
	return found, known
}

// runners returns the matching runners as they seem now, ordered by ID.
func (table *Table) runners(now time.Time, daemons []string, matches func(entry *entry) bool) []Runner {
	var runners []Runner
	for _, shard := range table.shards {
		shard.mutex.Lock()
		for _, entry := range shard.entries {
			if matches(entry) {
				runners = append(runners, table.view(now, entry, daemons))
			}
		}
		shard.mutex.Unlock()
	}
	sort.Slice(runners, func(left, right int) bool { return runners[left].ID < runners[right].ID })
	return runners
}
