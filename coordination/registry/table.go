package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// MaximumRunners bounds the records that others can make a process remember.
	MaximumRunners = 4096
	// retention is for how long a record stays after its runner was gone or silent, so that an older record of it is
	// recognized as old.
	retention     = 5 * time.Minute
	pruneInterval = time.Second
)

// entry is one runner's in a table.
type entry struct {
	record *wire.Runner
	// storedAt is when this record was stored, and coldUntil until when its runner is cold, where it is.
	storedAt, coldUntil time.Time
}

// Table is what one process knows of the registered runners.
type Table struct {
	entries map[string]*entry
	// checksum is the sum over all live records.
	checksum  uint64
	lastPrune time.Time
	listing   listing
}

// listing is the list of live runners as last returned.
type listing struct {
	runners []*wire.Runner
	valid   bool
	// nextWarm is when the next of its runners is no longer cold; zero where none is cold.
	nextWarm time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, listing: listing{runners: []*wire.Runner{}}}
}

// Record returns the record of a runner, or nil.
func (table *Table) Record(id string) *wire.Runner {
	if entry := table.entries[id]; entry != nil {
		return entry.record
	}
	return nil
}

// Checksum returns the sum over all live records; two tables with one sum hold the same live runners.
func (table *Table) Checksum() uint64 { return table.checksum }

// Merge merges records into the table. It returns those that changed the table, and our own record of each runner of
// which an older one was given.
func (table *Table) Merge(now time.Time, records []*wire.Runner) (merged, newer []*wire.Runner) {
	for _, record := range records {
		if _, known := stages[record.GetState()]; !known || record.RunnerId == "" {
			continue
		}
		present := table.entries[record.RunnerId]
		if present != nil {
			if order := Compare(record, present.record); order <= 0 {
				if order < 0 {
					newer = append(newer, present.outgoing(now))
				}
				continue
			}
		}
		if present == nil && len(table.entries) >= MaximumRunners && !table.makeRoom() {
			continue
		}
		table.store(now, record)
		merged = append(merged, record)
	}
	return merged, newer
}

func (table *Table) store(now time.Time, record *wire.Runner) {
	if present := table.entries[record.RunnerId]; present != nil {
		table.checksum -= checksum(present.record)
	}
	table.checksum += checksum(record)
	slowStart := time.Duration(record.SlowStartMilliseconds) * time.Millisecond
	table.entries[record.RunnerId] = &entry{record: record, storedAt: now, coldUntil: now.Add(slowStart)}
	table.listing.valid = false
}

// makeRoom removes the runner that has been gone or silent for longest; it reports whether there was one.
func (table *Table) makeRoom() bool {
	oldest := ""
	for id, entry := range table.entries {
		if live[entry.record.State] {
			continue
		}
		if oldest == "" || table.storedBefore(id, oldest) {
			oldest = id
		}
	}
	delete(table.entries, oldest)
	return oldest != ""
}

// storedBefore reports whether a runner's record was stored before another's; ids decide where both were at once.
func (table *Table) storedBefore(id, other string) bool {
	order := table.entries[id].storedAt.Compare(table.entries[other].storedAt)
	return order < 0 || order == 0 && id < other
}

// Prune removes runners that have been gone or silent for long.
func (table *Table) Prune(now time.Time) {
	if now.Sub(table.lastPrune) < pruneInterval {
		return
	}
	table.lastPrune = now
	for id, entry := range table.entries {
		if !live[entry.record.State] && now.Sub(entry.storedAt) > retention {
			delete(table.entries, id)
		}
	}
}

// outgoing returns a record as it is sent to others: with the time for which its runner is still cold. Clocks of two
// processes are never compared, so the remaining time is sent as a duration.
func (entry *entry) outgoing(now time.Time) *wire.Runner {
	if entry.record.State != Cold {
		return entry.record
	}
	record := withState(entry.record, Cold, entry.record.Call)
	record.SlowStartMilliseconds = uint32(max(0, entry.coldUntil.Sub(now)/time.Millisecond))
	return record
}

// coldFor returns for how long a runner is still cold by what is known.
func (table *Table) coldFor(now time.Time, id string) time.Duration {
	entry := table.entries[id]
	if entry == nil || entry.record.State != Cold {
		return 0
	}
	return max(0, entry.coldUntil.Sub(now))
}

// Runners returns the live runners by id, each ready, cold or draining; the slice is another one only when something in
// it changed. It must not be modified.
func (table *Table) Runners(now time.Time) []*wire.Runner {
	if !table.listing.current(now) {
		table.listing = table.list(now)
	}
	return table.listing.runners
}

func (listing *listing) current(now time.Time) bool {
	return listing.valid && (listing.nextWarm.IsZero() || now.Before(listing.nextWarm))
}

func (table *Table) list(now time.Time) listing {
	listing := listing{valid: true, runners: make([]*wire.Runner, 0, len(table.entries))}
	for _, id := range table.ids() {
		entry := table.entries[id]
		record := entry.record
		if !live[record.State] {
			continue
		}
		if record.State == Cold && !now.Before(entry.coldUntil) {
			record = withState(record, Ready, record.Call)
		} else if record.State == Cold && (listing.nextWarm.IsZero() || entry.coldUntil.Before(listing.nextWarm)) {
			listing.nextWarm = entry.coldUntil
		}
		listing.runners = append(listing.runners, record)
	}
	return listing
}

// All returns every record by id, also of runners that are gone or silent.
func (table *Table) All(now time.Time) []*wire.Runner {
	records := make([]*wire.Runner, 0, len(table.entries))
	for _, id := range table.ids() {
		records = append(records, table.entries[id].outgoing(now))
	}
	return records
}

func (table *Table) ids() []string { return slices.Sorted(maps.Keys(table.entries)) }
