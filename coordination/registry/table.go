package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// MaximumRunners is the maximum number of records in a table, which other processes fill.
	MaximumRunners = 4096
	// retention is the retention period of the record of a runner that is gone or silent. Until it ends, older records of
	// the runner are recognized as old.
	retention     = 5 * time.Minute
	pruneInterval = time.Second
)

// entry is one runner's record in a table.
type entry struct {
	record *wire.Runner
	// storedAt is the time at which this record was stored, coldUntil the time at which the slow start of the runner ends.
	storedAt, coldUntil time.Time
}

// Table holds the records of the registered runners known to one process.
type Table struct {
	entries map[string]*entry
	// checksum is the sum of the checksums of all live records.
	checksum  uint64
	lastPrune time.Time
	listing   listing
}

// listing caches the list of live runners as last returned.
type listing struct {
	runners []*wire.Runner
	valid   bool
	// nextWarmAt is the time at which the next slow start of a runner in the list ends; zero: no runner is cold.
	nextWarmAt time.Time
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

// Checksum returns the checksum of all live records; tables with equal checksums hold the same live runners.
func (table *Table) Checksum() uint64 { return table.checksum }

// Merge merges records into the table. It returns the records that changed the table, and for each record that is older
// than the stored one, the stored one.
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
		if present == nil && len(table.entries) >= MaximumRunners && !table.evictOldest() {
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

// evictOldest removes the runner that has been gone or silent for longest; it reports whether there was one.
func (table *Table) evictOldest() bool {
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

// storedBefore reports whether a runner's record was stored before another's; ids break ties.
func (table *Table) storedBefore(id, other string) bool {
	order := table.entries[id].storedAt.Compare(table.entries[other].storedAt)
	return order < 0 || order == 0 && id < other
}

// Prune removes runners that have been gone or silent for longer than the retention period.
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

// outgoing returns the record to be sent to other processes, with the remaining slow start of the runner. It is sent as
// a duration, since clocks of two processes are never compared.
func (entry *entry) outgoing(now time.Time) *wire.Runner {
	if entry.record.State != Cold {
		return entry.record
	}
	record := withState(entry.record, Cold, entry.record.Call)
	record.SlowStartMilliseconds = uint32(max(0, entry.coldUntil.Sub(now)/time.Millisecond))
	return record
}

// remainingCold returns the known remaining slow start of a runner.
func (table *Table) remainingCold(now time.Time, id string) time.Duration {
	entry := table.entries[id]
	if entry == nil || entry.record.State != Cold {
		return 0
	}
	return max(0, entry.coldUntil.Sub(now))
}

// Runners returns the live runners sorted by id, each ready, cold or draining. The slice is replaced only when its
// content changes; the caller must not modify it.
func (table *Table) Runners(now time.Time) []*wire.Runner {
	if !table.listing.current(now) {
		table.listing = table.list(now)
	}
	return table.listing.runners
}

func (listing *listing) current(now time.Time) bool {
	return listing.valid && (listing.nextWarmAt.IsZero() || now.Before(listing.nextWarmAt))
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
		} else if record.State == Cold && (listing.nextWarmAt.IsZero() || entry.coldUntil.Before(listing.nextWarmAt)) {
			listing.nextWarmAt = entry.coldUntil
		}
		listing.runners = append(listing.runners, record)
	}
	return listing
}

// All returns every record sorted by id, including those of runners that are gone or silent.
func (table *Table) All(now time.Time) []*wire.Runner {
	records := make([]*wire.Runner, 0, len(table.entries))
	for _, id := range table.ids() {
		records = append(records, table.entries[id].outgoing(now))
	}
	return records
}

func (table *Table) ids() []string { return slices.Sorted(maps.Keys(table.entries)) }
