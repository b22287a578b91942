// Package gossip spreads small named entries among processes. New entries are sent at once to a few
// peers, which forward them a few times (rumor mongering); entries that were missed are found by
// comparing digests (anti-entropy). The entry with the greatest (epoch, count, writer) under a key
// wins everywhere, so reordered, repeated and lost messages do not matter.
//
// An entry whose key begins with "z/<zone>/" stays within its zone.
//
// # Contract
//
// A Store is one process's instance, a pure state machine. Its caller passes it received messages
// (Store.HandleMessage, Store.HandleDigest), writes by Store.Put, and calls Store.Tick often; after
// each call it drains the outbox (see package statemachine). Each writer gives its own entry a
// greater (epoch, count) at each write. Then every store ends up with the greatest version of each
// entry that may enter its zone and that any connected store has, as long as each process can reach
// some others through its partners. Messages may be lost, repeated and reordered. Entries are never
// removed, and there are at most MaximumEntries. Values are not authenticated: every process is
// trusted. A Store is not safe for concurrent use, and an entry must not be modified after it was
// passed to a Store or returned by it.
package gossip

import (
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// DocumentKey is the key of the entry that carries the committed document.
const DocumentKey = "document"

// MaximumEntries bounds the entries of a store, and so the memory that other processes can make it use.
const MaximumEntries = 4096

// zonePrefix begins the keys of entries that stay within a zone.
const zonePrefix = "z/"

// Peer is a process to exchange entries with.
type Peer struct {
	Address string
	Zone    string
}

// SortedPeers returns the peers of a map from addresses to zones, ordered by address.
func SortedPeers(zones map[string]string) []Peer {
	peers := make([]Peer, 0, len(zones))
	for _, address := range slices.Sorted(maps.Keys(zones)) {
		peers = append(peers, Peer{Address: address, Zone: zones[address]})
	}
	return peers
}

// Store holds the entries of one process.
type Store struct {
	zone     string
	outbox   *statemachine.Outbox
	random   *rand.Rand
	partners func() []Peer
	changed  func(now time.Time, entry *wire.GossipEntry)
	entries  map[string]*wire.GossipEntry
	// remainingHops holds, by key, the remaining hops of each entry that is yet to be forwarded.
	remainingHops map[string]uint32
	lastDigest    time.Time
}

// New returns an empty store of a process in a zone. partners returns the currently known peers, and
// changed is called for each entry that is added or replaced by a newer version.
func New(zone string, outbox *statemachine.Outbox, random *rand.Rand, partners func() []Peer,
	changed func(now time.Time, entry *wire.GossipEntry)) *Store {
	return &Store{
		zone: zone, outbox: outbox, random: random, partners: partners, changed: changed,
		entries: map[string]*wire.GossipEntry{}, remainingHops: map[string]uint32{},
	}
}

// Get returns the entry of a key, or nil if there is none.
func (store *Store) Get(key string) *wire.GossipEntry { return store.entries[key] }

// Put stores an entry if it is newer than the present one of its key, and reports whether it did; a full store accepts
// no further key. The entry is forwarded at most hops times.
func (store *Store) Put(now time.Time, entry *wire.GossipEntry, hops uint32) bool {
	present := store.entries[entry.Key]
	if !newer(entry, present) {
		return false
	}
	if present == nil && len(store.entries) >= MaximumEntries {
		return false
	}
	store.entries[entry.Key] = entry
	if hops > 0 {
		store.remainingHops[entry.Key] = hops
	}
	store.changed(now, entry)
	return true
}

// Tick forwards new entries and, every digestInterval, sends a digest to one peer.
func (store *Store) Tick(now time.Time) {
	store.spread()
	store.compareDigests(now)
}

// version is implemented by an entry and by its digest entry, and orders the versions of an entry.
type version interface {
	GetEpoch() uint64
	GetCount() uint64
	GetWriter() string
}

// newer reports whether left is newer than the present entry, which may be nil.
func newer(left version, present *wire.GossipEntry) bool {
	if present == nil {
		return true
	}
	return isGreater(left, present)
}

// isGreater reports whether left is greater than right in the order of versions.
func isGreater(left, right version) bool {
	if left.GetEpoch() != right.GetEpoch() {
		return left.GetEpoch() > right.GetEpoch()
	}
	if left.GetCount() != right.GetCount() {
		return left.GetCount() > right.GetCount()
	}
	return left.GetWriter() > right.GetWriter()
}

// mayEnter reports whether the entry of a key may be sent to a zone.
func mayEnter(zone, key string) bool {
	rest, zoned := strings.CutPrefix(key, zonePrefix)
	return !zoned || strings.HasPrefix(rest, zone+"/")
}
