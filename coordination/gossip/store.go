// Package gossip spreads small named entries among processes: what is new is sent at once to a few
// peers, which forward it a few times (rumor mongering); what was missed is found by comparing
// digests (anti-entropy). The entry with the greatest (epoch, count, writer) under a key wins
// everywhere, so the order of arrival, repeats and losses do not matter.
//
// An entry whose key begins with "z/<zone>/" stays within its zone.
//
// # Contract
//
// A Store is one process's part, a pure state machine. Its caller hands it received messages
// (Store.HandleMessage, Store.HandleDigest), writes by Store.Put, and calls Store.Tick often; after each call it
// drains the outbox (see package statemachine). Each writer gives its own entry a greater (epoch,
// count) at each write. Then every store ends up with the greatest version of each entry of its
// zone that any connected store has, as long as each process reaches some others over the partners
// that it is given. Messages may be lost, repeated and reordered. Entries are never removed, and
// there are at most MaximumEntries; values are not authenticated: every process is trusted. A Store
// is not safe for concurrent use, and an entry is not modified once it was handed to a Store or
// returned by it.
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

// MaximumEntries bounds the entries that others can make a process remember.
const MaximumEntries = 4096

// zonePrefix begins the keys of entries that stay within a zone.
const zonePrefix = "z/"

// Peer is a process to exchange entries with.
type Peer struct {
	Address string
	Zone    string
}

// SortedPeers returns the peers of a table from addresses to zones, in the order of their addresses.
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
	// remainingHops are those of the entries that are yet to be sent, by key.
	remainingHops map[string]uint32
	lastDigest    time.Time
}

// New returns an empty store of a process in a zone. partners returns the peers that are known at
// present, and changed is called for each entry that became newer.
func New(zone string, outbox *statemachine.Outbox, random *rand.Rand, partners func() []Peer,
	changed func(now time.Time, entry *wire.GossipEntry)) *Store {
	return &Store{
		zone: zone, outbox: outbox, random: random, partners: partners, changed: changed,
		entries: map[string]*wire.GossipEntry{}, remainingHops: map[string]uint32{},
	}
}

// Get returns the entry of a key, or nil.
func (store *Store) Get(key string) *wire.GossipEntry { return store.entries[key] }

// Put stores an entry if it is newer, to be forwarded up to a number of hops, and reports whether it did.
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

// Tick forwards what is new and, now and then, starts a comparison of digests with one peer.
func (store *Store) Tick(now time.Time) {
	store.spread()
	store.compareDigests(now)
}

// version is what orders the versions of an entry: an entry itself, or its digest entry.
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
