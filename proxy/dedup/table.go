// Package dedup deduplicates at-most-once requests within one data daemon. A Table records which requests the daemon
// has accepted and how they ended, so that a retry is not executed again and its client receives the known outcome.
// Package reservation deduplicates across daemons.
//
// A Table is safe for concurrent use: its entries are divided into shards, each with its own lock.
package dedup

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"

	"wardtray/coordination/reservation"
)

// State is the known state of a request. Its text completes the sentence "the request with this id ..." in the refusal
// of a retry.
type State string

// The states of a request. A request that certainly did not run has no entry, so that it may be retried.
const (
	// NotSeen: the table has no entry for the request.
	NotSeen State = ""
	// Running: this daemon accepted the request and its outcome is not known yet.
	Running State = "is under way"
	// Ran: the request ran to completion.
	Ran State = "ran to its end"
	// Unknown: the request failed and may have run.
	Unknown State = "ended in doubt: it may have run"
	// TakenElsewhere: another daemon of the zone sent the request to a runner.
	TakenElsewhere State = "was taken by another daemon"
)

const (
	// retentionPeriod is the time for which the entry of a request is kept after the request has ended.
	retentionPeriod = reservation.MinimumRetention
	// shardCapacity is the maximum number of entries of one shard. A full shard refuses new requests and never evicts an
	// entry before its retention period is over.
	shardCapacity = 16384
	shardCount    = 8
	// Capacity is the maximum number of entries of a table, if they are spread evenly over its shards.
	Capacity = shardCapacity * shardCount
)

// Key identifies a request by a truncated SHA-256 hash of its route and id.
type Key = reservation.Key

// KeyOf returns the key of the request with this id on a route.
func KeyOf(route, id string) (key Key) {
	hash := sha256.Sum256([]byte(route + "\x00" + id))
	copy(key[:], hash[:])
	return key
}

// Table records the states of requests. New creates one.
type Table struct{ shards [shardCount]*shard }

// New returns an empty table.
func New() *Table {
	table := &Table{}
	for index := range table.shards {
		table.shards[index] = newShard()
	}
	return table
}

// lock locks the shard of a key and returns it. The caller unlocks it.
func (table *Table) lock(key Key) *shard {
	shard := table.shards[int(key[0])%shardCount]
	shard.mutex.Lock()
	return shard
}

// Begin records a new request as Running and reports isNew. If the table already has an entry for it, Begin returns its
// state. If the shard is full, Begin records nothing and returns NotSeen and false; RoomAfter returns when to retry.
func (table *Table) Begin(now time.Time, key Key) (known State, isNew bool) {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	shard.removeExpired(now)
	if known := shard.state(key); known != NotSeen {
		return known, false
	}
	return NotSeen, shard.put(now, key, Running)
}

// RoomAfter returns how long it takes until the shard of a key has room for a request that Begin refused; 0: it has
// room now.
func (table *Table) RoomAfter(now time.Time, key Key) time.Duration {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	front := shard.order.Front()
	if front == nil || len(shard.entries) < shardCapacity {
		return 0
	}
	return max(0, retentionPeriod-now.Sub(entryOf(front).changedAt))
}

// Lookup returns the state of a request.
func (table *Table) Lookup(key Key) State {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	return shard.state(key)
}

// Finish records how a request ended: Ran or Unknown.
func (table *Table) Finish(now time.Time, key Key, state State) {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	// The request has had an entry since Begin, so it needs no room.
	_ = shard.put(now, key, state)
}

// Forget removes the entry of a request that certainly did not run.
func (table *Table) Forget(key Key) {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	shard.remove(key)
}

// RecordAnnounced records another daemon's announcement of a request: that the daemon sent it to a runner, or, if
// dropped is set, that the request certainly did not run. The states of this daemon's own requests take precedence.
func (table *Table) RecordAnnounced(now time.Time, key Key, dropped bool) {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	if known := shard.state(key); known != NotSeen && known != TakenElsewhere {
		return
	}
	if dropped {
		shard.remove(key)
		return
	}
	// A full shard drops the announcement. Only daemons that make no reservations rely on it.
	_ = shard.put(now, key, TakenElsewhere)
}

// Len returns the number of entries.
func (table *Table) Len() int {
	count := 0
	for _, shard := range table.shards {
		shard.mutex.Lock()
		count += len(shard.entries)
		shard.mutex.Unlock()
	}
	return count
}

// entry is the recorded state of one request.
type entry struct {
	key   Key
	state State
	// changedAt is the time at which the state was last set.
	changedAt time.Time
}

// shard holds the entries of a part of the key space. The caller of a method holds the mutex.
type shard struct {
	mutex   sync.Mutex
	entries map[Key]*list.Element
	// order lists the entries by changedAt, oldest first. The value of every element is an *entry.
	order *list.List
}

func newShard() *shard { return &shard{entries: map[Key]*list.Element{}, order: list.New()} }

// entryOf returns the entry in an element of a shard's order.
func entryOf(element *list.Element) *entry {
	known, isEntry := element.Value.(*entry)
	if !isEntry {
		panic("dedup: a list element does not hold an *entry")
	}
	return known
}

// state returns the state of a request.
func (shard *shard) state(key Key) State {
	if element := shard.entries[key]; element != nil {
		return entryOf(element).state
	}
	return NotSeen
}

// put sets the state of a request. It returns false and changes nothing if a new entry is needed and the shard is full.
func (shard *shard) put(now time.Time, key Key, state State) bool {
	if element := shard.entries[key]; element != nil {
		known := entryOf(element)
		known.state, known.changedAt = state, now
		shard.order.MoveToBack(element)
		return true
	}
	if len(shard.entries) >= shardCapacity {
		return false
	}
	shard.entries[key] = shard.order.PushBack(&entry{key: key, state: state, changedAt: now})
	return true
}

// remove deletes the entry of a request, if there is one.
func (shard *shard) remove(key Key) {
	if element := shard.entries[key]; element != nil {
		delete(shard.entries, key)
		shard.order.Remove(element)
	}
}

// removeExpired deletes the entries of requests that ended more than retentionPeriod ago. Running requests are kept.
func (shard *shard) removeExpired(now time.Time) {
	for {
		front := shard.order.Front()
		if front == nil || now.Sub(entryOf(front).changedAt) <= retentionPeriod {
			return
		}
		if known := entryOf(front); known.state == Running {
			known.changedAt = now
			shard.order.MoveToBack(front)
			continue
		}
		shard.remove(entryOf(front).key)
	}
}
