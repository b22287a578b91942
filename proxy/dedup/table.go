// Package dedup remembers which requests of routes that run at most once this daemon has accepted, and how they ended,
// so that the same request sent again is not run again, and its client learns what became of it. It is the part of one
// daemon; package reservation has what all of them know together. A Table is safe for concurrent use: its entries are
// divided into shards, each under a lock of its own.
package dedup

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"

	"wardtray/coordination/reservation"
)

// State is what is known of a request. Its text completes the sentence "the request with this id ..." of a rejection.
type State string

// The states of a request. One that certainly did not run is forgotten, so that it may be sent again.
const (
	// NotSeen: nothing is known of the request.
	NotSeen State = ""
	// Running: this daemon accepted it and does not know its end yet.
	Running State = "is under way"
	// Ran: it ran to completion.
	Ran State = "ran to its end"
	// Unknown: it failed and may have run.
	Unknown State = "ended in doubt: it may have run"
	// TakenElsewhere: another daemon of the zone sent it to a runner.
	TakenElsewhere State = "was taken by another daemon"
)

const (
	// Keep is how long a request is remembered after its end.
	Keep = reservation.Keep
	// Limit bounds the entries of one shard. What is more is refused; nothing is forgotten for it.
	Limit      = 16384
	shardCount = 8
	// Capacity is how many entries a table has room for, where they are spread evenly.
	Capacity = Limit * shardCount
)

// Key identifies a request: a truncated SHA-256 hash of its route and id.
type Key = reservation.Key

// KeyOf returns the key of a request of a route.
func KeyOf(route, request string) (key Key) {
	hash := sha256.Sum256([]byte(route + "\x00" + request))
	copy(key[:], hash[:])
	return key
}

// Table remembers requests for the time Keep. Make one with New.
type Table struct{ shards [shardCount]*shard }

// New returns an empty table.
func New() *Table {
	table := &Table{}
	for index := range table.shards {
		table.shards[index] = newShard()
	}
	return table
}

// lock returns the shard of a key, locked.
func (table *Table) lock(key Key) *shard {
	shard := table.shards[int(key[0])%shardCount]
	shard.mutex.Lock()
	return shard
}

// Begin records a request as running, unless it is known already: then it returns what is known and isNew is false.
// Where there is no room for it, nothing is recorded, known is NotSeen and isNew is false (RoomAfter).
func (table *Table) Begin(now time.Time, key Key) (known State, isNew bool) {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	shard.removeExpired(now)
	if known := shard.state(key); known != NotSeen {
		return known, false
	}
	return NotSeen, shard.put(now, key, Running)
}

// RoomAfter returns after what time there is room for a request that Begin had none for.
func (table *Table) RoomAfter(now time.Time, key Key) time.Duration {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	front := shard.order.Front()
	if front == nil || len(shard.entries) < Limit {
		return 0
	}
	return max(0, Keep-now.Sub(entryOf(front).changedAt))
}

// Lookup returns what is known of a request.
func (table *Table) Lookup(key Key) State {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	return shard.state(key)
}

// Finish records how a request ended: Ran or Unknown.
func (table *Table) Finish(now time.Time, key Key, state State) {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	// What was begun has its place.
	_ = shard.put(now, key, state)
}

// Forget removes a request that certainly did not run.
func (table *Table) Forget(key Key) {
	shard := table.lock(key)
	defer shard.mutex.Unlock()
	shard.remove(key)
}

// RecordAnnounced records what another daemon announced of a request: that it sent it to a runner, or, with
// dropped, that it certainly did not run. What this daemon knows of its own requests takes precedence.
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
	// Where there is no room, the announcement is lost; only daemons that make no reservations go by it.
	_ = shard.put(now, key, TakenElsewhere)
}

// Len returns the number of requests that are remembered.
func (table *Table) Len() int {
	count := 0
	for _, shard := range table.shards {
		shard.mutex.Lock()
		count += len(shard.entries)
		shard.mutex.Unlock()
	}
	return count
}

// entry is what a shard remembers of one request.
type entry struct {
	key   Key
	state State
	// changedAt is when the state was last set.
	changedAt time.Time
}

// shard holds the entries of a part of all keys. Its methods want the mutex held.
type shard struct {
	mutex   sync.Mutex
	entries map[Key]*list.Element
	// order has the entries, those that changed longest ago first; every element's value is an *entry.
	order *list.List
}

func newShard() *shard { return &shard{entries: map[Key]*list.Element{}, order: list.New()} }

// entryOf returns the entry of an element of the order.
func entryOf(element *list.Element) *entry {
	known, isEntry := element.Value.(*entry)
	if !isEntry {
		panic("dedup: a shard's list has something else than entries")
	}
	return known
}

// state returns what is known of a request.
func (shard *shard) state(key Key) State {
	if element := shard.entries[key]; element != nil {
		return entryOf(element).state
	}
	return NotSeen
}

// put sets the state of a request; it reports false, and changes nothing, where there is no room for another one.
func (shard *shard) put(now time.Time, key Key, state State) bool {
	if element := shard.entries[key]; element != nil {
		known := entryOf(element)
		known.state, known.changedAt = state, now
		shard.order.MoveToBack(element)
		return true
	}
	if len(shard.entries) >= Limit {
		return false
	}
	shard.entries[key] = shard.order.PushBack(&entry{key: key, state: state, changedAt: now})
	return true
}

// remove forgets a request, if it is known.
func (shard *shard) remove(key Key) {
	if element := shard.entries[key]; element != nil {
		delete(shard.entries, key)
		shard.order.Remove(element)
	}
}

// removeExpired forgets the requests that ended longer than Keep ago. What is still running is kept.
func (shard *shard) removeExpired(now time.Time) {
	for {
		front := shard.order.Front()
		if front == nil || now.Sub(entryOf(front).changedAt) <= Keep {
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
