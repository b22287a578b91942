// Package gossip spreads small named registers among processes: what is new goes at once to a few
// partners, which pass it on a few times; what was missed is found by comparing digests. The
// greatest (epoch, count, writer) of a register wins everywhere, so that order of arrival,
// repeats and losses do not matter.
//
// A register whose key begins with "z/<zone>/" stays within its zone.
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

// DocumentKey names the entry that carries the committed document.
const DocumentKey = "document"

const (
	// Fanout is how many partners hear of something new at once.
	Fanout = 3
	// Hops is how many times news is passed on.
	Hops = 4
	// MaximumEntries bounds what others can make us remember.
	MaximumEntries = 4096
	mendHops       = 2
	digestEvery    = 500 * time.Millisecond
)

// Peer is a process to talk to.
type Peer struct {
	Address string
	Zone    string
}

// Store holds the registers of one process.
type Store struct {
	zone      string
	outbox    *statemachine.Outbox
	random    *rand.Rand
	partners  func() []Peer
	changed   func(now time.Time, register *wire.GossipEntry)
	registers map[string]*wire.GossipEntry
	hot       map[string]uint32
	digested  time.Time
}

// New makes an empty store. changed is told of each register that became newer.
func New(zone string, outbox *statemachine.Outbox, random *rand.Rand, partners func() []Peer, changed func(now time.Time, register *wire.GossipEntry)) *Store {
	return &Store{zone: zone, outbox: outbox, random: random, partners: partners, changed: changed,
		registers: map[string]*wire.GossipEntry{}, hot: map[string]uint32{}}
}

// Newer tells whether the left order is greater.
func Newer(leftEpoch, leftCount uint64, leftWriter string, right *wire.GossipEntry) bool {
	if right == nil {
		return true
	}
	if leftEpoch != right.Epoch {
		return leftEpoch > right.Epoch
	}
	if leftCount != right.Count {
		return leftCount > right.Count
	}
	return leftWriter > right.Writer
}

// Get gives a register, or nil.
func (store *Store) Get(key string) *wire.GossipEntry { return store.registers[key] }

// Put takes a register in if it is newer, and spreads it.
func (store *Store) Put(now time.Time, register *wire.GossipEntry, hops uint32) bool {
	held := store.registers[register.Key]
	if !Newer(register.Epoch, register.Count, register.Writer, held) {
		return false
	}
	if held == nil && len(store.registers) >= MaximumEntries {
		return false
	}
	store.registers[register.Key] = register
	if hops > 0 {
		store.hot[register.Key] = hops
	}
	store.changed(now, register)
	return true
}

// scoped tells whether a key may travel to a zone.
func scoped(key, zone string) bool {
	rest, found := strings.CutPrefix(key, "z/")
	return !found || strings.HasPrefix(rest, zone+"/")
}

// Tick passes on what is new and, now and then, compares digests with one partner.
func (store *Store) Tick(now time.Time) {
	store.spread()
	if now.Sub(store.digested) < digestEvery {
		return
	}
	store.digested = now
	partners := store.partners()
	if len(partners) == 0 {
		return
	}
	// Our own zone costs no dear bytes and holds what never leaves it, so it is asked three times of four.
	near, far := store.parted(partners)
	if len(near) == 0 || len(far) > 0 && store.random.Intn(4) == 0 {
		near = far
	}
	partner := near[store.random.Intn(len(near))]
	store.sendDigest(partner.Address, partner.Zone, true)
}

func (store *Store) spread() {
	if len(store.hot) == 0 {
		return
	}
	partners := store.partners()
	keys := slices.Sorted(maps.Keys(store.hot))
	// One frame for each partner and hop count, in a fixed order, so that a seeded run repeats.
	for _, partner := range store.some(partners) {
		byHops := map[uint32][]*wire.GossipEntry{}
		for _, key := range keys {
			if scoped(key, partner.Zone) {
				byHops[store.hot[key]] = append(byHops[store.hot[key]], store.registers[key])
			}
		}
		for hops := uint32(Hops); hops > 0; hops-- {
			if len(byHops[hops]) > 0 {
				store.outbox.Send(partner.Address, &wire.Envelope{Body: &wire.Envelope_GossipMessage{GossipMessage: &wire.GossipMessage{
					Entries: byHops[hops], Hops: hops - 1}}})
			}
		}
	}
	store.hot = map[string]uint32{}
}

// some chooses partners: our own zone first, and one beyond it, so that few bytes cross zones but
// no zone depends on another's goodwill alone.
func (store *Store) some(partners []Peer) []Peer {
	near, far := store.parted(partners)
	shuffle := func(list []Peer) {
		store.random.Shuffle(len(list), func(left, right int) { list[left], list[right] = list[right], list[left] })
	}
	shuffle(near)
	shuffle(far)
	chosen := near[:min(len(near), Fanout-1)]
	return append(append([]Peer{}, chosen...), far[:min(len(far), Fanout-len(chosen))]...)
}

// parted gives the partners of our own zone, and the others.
func (store *Store) parted(partners []Peer) (near, far []Peer) {
	for _, partner := range partners {
		if partner.Zone == store.zone {
			near = append(near, partner)
		} else {
			far = append(far, partner)
		}
	}
	return near, far
}

func (store *Store) sendDigest(address, zone string, wanted bool) {
	digest := &wire.Digest{ResponseWanted: wanted}
	keys := slices.Sorted(maps.Keys(store.registers))
	for _, key := range keys {
		register := store.registers[key]
		if scoped(key, zone) {
			digest.Entries = append(digest.Entries, &wire.DigestEntry{Key: key, Epoch: register.Epoch, Count: register.Count, Writer: register.Writer})
		}
	}
	store.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Digest{Digest: digest}})
}

// Gossip message takes in what a partner passed on.
func (store *Store) Rumor(now time.Time, message *wire.GossipMessage) {
	for _, register := range message.Entries {
		if scoped(register.Key, store.zone) {
			store.Put(now, register, min(message.Hops, Hops))
		}
	}
	store.spread()
}

// Digest sends back what the partner lacks and, if asked, our own digest where it holds more.
func (store *Store) Digest(_ time.Time, from, zone string, message *wire.Digest) {
	theirs := map[string]*wire.DigestEntry{}
	lacking := false
	for _, line := range message.Entries {
		theirs[line.Key] = line
		held := store.registers[line.Key]
		if scoped(line.Key, store.zone) && Newer(line.Epoch, line.Count, line.Writer, held) {
			lacking = true
		}
	}
	var fresh []*wire.GossipEntry
	keys := slices.Sorted(maps.Keys(store.registers))
	for _, key := range keys {
		register, line := store.registers[key], theirs[key]
		if !scoped(key, zone) {
			continue
		}
		if line == nil || Newer(register.Epoch, register.Count, register.Writer, &wire.GossipEntry{Epoch: line.Epoch, Count: line.Count, Writer: line.Writer}) {
			fresh = append(fresh, register)
		}
	}
	if len(fresh) > 0 {
		// Whoever missed a gossip message is likely not alone, so what a digest finds is passed on a little too.
		store.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_GossipMessage{GossipMessage: &wire.GossipMessage{Entries: fresh, Hops: mendHops}}})
	}
	if lacking && message.ResponseWanted {
		store.sendDigest(from, zone, false)
	}
}
