package registry

import (
	"sort"
	"time"

	"wardtray/wire"
)

const (
	// MaximumRunners bounds the lines that others can make us remember.
	MaximumRunners = 4096
	// remembered is for how long a line stays after its runner was gone or silent, so that an older word of
	// it is known to be old.
	remembered = 5 * time.Minute
	pruneEvery = time.Second
)

type entry struct {
	line *wire.Runner
	// since is when this line was taken in; until then it is cold, where it is.
	since, coldUntil time.Time
}

// Table is what one process knows of the registered runners.
type Table struct {
	entries  map[string]*entry
	checksum uint64
	pruned   time.Time
	// The list as last given, and when the next of its runners is no longer cold.
	list     []*wire.Runner
	listed   bool
	warmNext time.Time
}

// NewTable makes an empty book.
func NewTable() *Table { return &Table{entries: map[string]*entry{}, list: []*wire.Runner{}} }

// Line gives what is known of a runner, or nil.
func (book *Table) Line(id string) *wire.Runner {
	if held := book.entries[id]; held != nil {
		return held.line
	}
	return nil
}

// Checksum tells what all live lines add up to; two books with one sum hold the same live runners.
func (book *Table) Checksum() uint64 { return book.checksum }

// Take joins lines into the book. It gives those that changed it, and our own line of each runner of which
// an older one came.
func (book *Table) Take(now time.Time, lines []*wire.Runner) (taken, newer []*wire.Runner) {
	for _, line := range lines {
		if _, known := stages[line.GetState()]; !known || line.RunnerId == "" {
			continue
		}
		held := book.entries[line.RunnerId]
		if held != nil {
			if direction := Compare(line, held.line); direction <= 0 {
				if direction < 0 {
					newer = append(newer, book.told(now, held))
				}
				continue
			}
		}
		if held == nil && len(book.entries) >= MaximumRunners && !book.makeRoom() {
			continue
		}
		book.put(now, line)
		taken = append(taken, line)
	}
	return taken, newer
}

func (book *Table) put(now time.Time, line *wire.Runner) {
	if held := book.entries[line.RunnerId]; held != nil {
		book.checksum -= weight(held.line)
	}
	book.checksum += weight(line)
	book.entries[line.RunnerId] = &entry{line: line, since: now, coldUntil: now.Add(time.Duration(line.SlowStartMilliseconds) * time.Millisecond)}
	book.listed = false
}

// makeRoom forgets the runner that has been gone or silent for longest; it tells whether there was one.
func (book *Table) makeRoom() bool {
	oldest := ""
	for id, held := range book.entries {
		if !live[held.line.State] && (oldest == "" || held.since.Before(book.entries[oldest].since) || held.since.Equal(book.entries[oldest].since) && id < oldest) {
			oldest = id
		}
	}
	delete(book.entries, oldest)
	return oldest != ""
}

// Prune forgets runners that have been gone or silent for long.
func (book *Table) Prune(now time.Time) {
	if now.Sub(book.pruned) < pruneEvery {
		return
	}
	book.pruned = now
	for id, held := range book.entries {
		if !live[held.line.State] && now.Sub(held.since) > remembered {
			delete(book.entries, id)
		}
	}
}

// told gives a line as it is told to others: with the time that its runner is still cold. Why: clocks of two
// processes are never compared, so what is left is told as a length of time.
func (book *Table) told(now time.Time, held *entry) *wire.Runner {
	if held.line.State != Cold {
		return held.line
	}
	line := changed(held.line, Cold, held.line.Call)
	line.SlowStartMilliseconds = uint32(max(0, held.coldUntil.Sub(now)/time.Millisecond))
	return line
}

// coldFor tells for how long a runner is still cold by what is known.
func (book *Table) coldFor(now time.Time, id string) time.Duration {
	held := book.entries[id]
	if held == nil || held.line.State != Cold {
		return 0
	}
	return max(0, held.coldUntil.Sub(now))
}

// Runners lists the live runners by id, each ready, cold or draining; the list is another one only when
// something in it changed.
func (book *Table) Runners(now time.Time) []*wire.Runner {
	if book.listed && (book.warmNext.IsZero() || now.Before(book.warmNext)) {
		return book.list
	}
	book.listed, book.warmNext = true, time.Time{}
	list := make([]*wire.Runner, 0, len(book.entries))
	for _, held := range book.entries {
		if !live[held.line.State] {
			continue
		}
		line := held.line
		if line.State == Cold && !now.Before(held.coldUntil) {
			line = changed(line, Ready, line.Call)
		} else if line.State == Cold && (book.warmNext.IsZero() || held.coldUntil.Before(book.warmNext)) {
			book.warmNext = held.coldUntil
		}
		list = append(list, line)
	}
	sort.Slice(list, func(left, right int) bool { return list[left].RunnerId < list[right].RunnerId })
	book.list = list
	return list
}

// All lists every line by id, also of runners that are gone or silent.
func (book *Table) All(now time.Time) []*wire.Runner {
	list := make([]*wire.Runner, 0, len(book.entries))
	for _, id := range book.ids() {
		list = append(list, book.told(now, book.entries[id]))
	}
	return list
}

func (book *Table) ids() []string {
	ids := make([]string, 0, len(book.entries))
	for id := range book.entries {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// digest tells which version of each live line is held here.
func (book *Table) digest(answerWanted bool) *wire.RunnerDigest {
	digest := &wire.RunnerDigest{ResponseWanted: answerWanted}
	for _, id := range book.ids() {
		if line := book.entries[id].line; live[line.State] {
			digest.Versions = append(digest.Versions, &wire.RunnerVersion{RunnerId: id, State: line.State, Call: line.Call})
		}
	}
	return digest
}

// compare gives the lines that the sender of a digest lacks, and tells whether it holds any that we lack.
func (book *Table) compare(now time.Time, digest *wire.RunnerDigest) (news []*wire.Runner, lacking bool) {
	theirs := map[string]*wire.RunnerVersion{}
	for _, version := range digest.Versions {
		theirs[version.RunnerId] = version
		if held := book.entries[version.RunnerId]; held == nil || order(version.State, version.Call, held.line.State, held.line.Call) > 0 {
			lacking = true
		}
	}
	for _, id := range book.ids() {
		held, version := book.entries[id], theirs[id]
		// Of runners that are gone nobody needs to learn who never knew them, but for a process that begins: it could
		// be told of them as live by one that missed their end.
		if version == nil && (live[held.line.State] || len(digest.Versions) == 0) || version != nil && order(held.line.State, held.line.Call, version.State, version.Call) > 0 {
			news = append(news, book.told(now, held))
		}
	}
	return news, lacking
}
