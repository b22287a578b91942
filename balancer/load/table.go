// Package load keeps one daemon's view of the runners: which are listed, the estimated load of each, the limits of
// those in slow start, and which are ejected. It does no I/O and reads no clock; callers report events and pass the
// time. The state is sharded by runner, each shard under its own lock, and a Table is safe for concurrent use.
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
	// shardCount is the number of shards, each with its own lock, that the runners are divided among.
	shardCount = 8
	// initialSlots is the number of slots assumed for a runner that has reported none.
	initialSlots = 4
)

// Table holds a daemon's view of all runners.
type Table struct {
	// self is the address of the daemon.
	self    string
	started time.Time
	shards  [shardCount]*shard
	// Disabled names the mechanisms that are switched off.
	Disabled features.Set
	services serviceTable
}

// shard holds the entries of its share of the runners, by their IDs.
type shard struct {
	mutex   sync.Mutex
	entries map[string]*entry
	// drained maps the IDs of runners to the time when they were last listed as draining.
	drained map[string]time.Time
}

// entry is the state of one runner.
type entry struct {
	// listing is the runner's newest entry in the platform's runner list.
	listing *wire.Runner
	// listed reports whether the current list contains the runner.
	listed    bool
	requests  inFlightRequests
	estimate  loadEstimate
	ejection  ejection
	slowStart slowStart
	// failedReports counts the report requests that failed since the last successful one.
	failedReports int
}

// NewTable returns an empty table for the daemon at the address self, which started now.
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

// update calls change with the entry of a runner under its shard's lock. It does nothing if the runner is not known.
func (table *Table) update(runner string, change func(entry *entry)) {
	shard := table.shard(runner)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if entry := shard.entries[runner]; entry != nil {
		change(entry)
	}
}

// Runners returns a snapshot of every known runner, ordered by ID. daemons are the addresses of the daemons that share
// the runners in slow start.
func (table *Table) Runners(now time.Time, daemons []string) []Runner {
	return table.runners(now, daemons, func(*entry) bool { return true })
}

// Lookup returns a snapshot of one runner, and whether the runner is known.
func (table *Table) Lookup(now time.Time, runner string, daemons []string) (found Runner, known bool) {
	table.update(runner, func(entry *entry) { found, known = table.view(now, entry, daemons), true })
	return found, known
}

// runners returns snapshots of the matching runners, ordered by ID.
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
