// Package once remembers which requests of routes that run at most once were taken, and how they ended,
// so that the same request sent again is not run again. State is in shards, each under its own lock.
package dedup

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"
)

// State is what is known of a request.
type State string

// The states. A request that surely did not run is forgotten, so that it may be sent again.
const (
	Running State = "is under way"
	Ran     State = "ran to its end"
	Unknown State = "ended in doubt: it may have run"
	// Elsewhere: another daemon of the zone sent it to a runner.
	Elsewhere State = "was taken by another daemon"
)

// Keep is for how long a request is remembered; Limit bounds how many are in one shard.
const (
	Keep       = 10 * time.Minute
	Limit      = 16384
	shardCount = 8
)

// Key stands for a route and a request's id.
type Key [16]byte

// KeyOf gives the key of a request.
func KeyOf(route, request string) (key Key) {
	sum := sha256.Sum256([]byte(route + "\x00" + request))
	copy(key[:], sum[:])
	return key
}

type entry struct {
	key   Key
	state State
	at    time.Time
}

type shard struct {
	mutex   sync.Mutex
	entries map[Key]*list.Element
	order   *list.List
}

// Table is all of it.
type Table struct{ shards [shardCount]*shard }

// New makes an empty memory.
func New() *Table {
	memory := &Table{}
	for place := range memory.shards {
		memory.shards[place] = &shard{entries: map[Key]*list.Element{}, order: list.New()}
	}
	return memory
}

func (memory *Table) shard(key Key) *shard { return memory.shards[int(key[0])%shardCount] }

// Begin takes a request, unless it is known already; then it gives what is known.
func (memory *Table) Begin(now time.Time, key Key) (known State, fresh bool) {
	shard := memory.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.forgetOld(now)
	if element := shard.entries[key]; element != nil {
		return element.Value.(*entry).state, false
	}
	shard.put(now, key, Running)
	return "", true
}

// Look gives what is known of a request, "" if nothing is.
func (memory *Table) Look(key Key) State {
	shard := memory.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if element := shard.entries[key]; element != nil {
		return element.Value.(*entry).state
	}
	return ""
}

// End notes how a request ended.
func (memory *Table) End(now time.Time, key Key, state State) {
	shard := memory.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.put(now, key, state)
}

// Drop forgets a request that surely did not run.
func (memory *Table) Drop(key Key) {
	shard := memory.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if element := shard.entries[key]; element != nil {
		shard.order.Remove(element)
		delete(shard.entries, key)
	}
}

// Heard takes another daemon's word that it has sent a request, or that this surely did not run.
func (memory *Table) Heard(now time.Time, key Key, dropped bool) {
	shard := memory.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	element := shard.entries[key]
	// What this daemon knows of its own is more than what others say.
	if element != nil && element.Value.(*entry).state != Elsewhere {
		return
	}
	if !dropped {
		shard.put(now, key, Elsewhere)
		return
	}
	if element != nil {
		shard.order.Remove(element)
		delete(shard.entries, key)
	}
}

// Count tells how many requests are remembered.
func (memory *Table) Count() int {
	count := 0
	for _, shard := range memory.shards {
		shard.mutex.Lock()
		count += len(shard.entries)
		shard.mutex.Unlock()
	}
	return count
}

func (shard *shard) put(now time.Time, key Key, state State) {
	if element := shard.entries[key]; element != nil {
		known := element.Value.(*entry)
		known.state, known.at = state, now
		shard.order.MoveToBack(element)
		return
	}
	shard.entries[key] = shard.order.PushBack(&entry{key: key, state: state, at: now})
	if len(shard.entries) > Limit {
		shard.drop(shard.order.Front())
	}
}

func (shard *shard) drop(element *list.Element) {
	delete(shard.entries, element.Value.(*entry).key)
	shard.order.Remove(element)
}

func (shard *shard) forgetOld(now time.Time) {
	for front := shard.order.Front(); front != nil && now.Sub(front.Value.(*entry).at) > Keep; front = shard.order.Front() {
		shard.drop(front)
	}
}
