package gossip

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// Fanout is the number of peers that a new entry is sent to at once.
	Fanout = 3
	// Hops is the number of times that a new entry is forwarded.
	Hops = 4
)

// HandleMessage stores the entries that a peer has sent and forwards the new ones.
func (store *Store) HandleMessage(now time.Time, message *wire.GossipMessage) {
	for _, entry := range message.Entries {
		if mayEnter(store.zone, entry.Key) {
			store.Put(now, entry, min(message.Hops, Hops))
		}
	}
	store.spread()
}

// spread sends new entries to a few peers: each peer gets one message for each number of remaining hops. The order is
// fixed so that a seeded run is reproducible.
func (store *Store) spread() {
	if len(store.remainingHops) == 0 {
		return
	}
	keys := slices.Sorted(maps.Keys(store.remainingHops))
	for _, peer := range store.choosePeers(store.partners()) {
		byHops := map[uint32][]*wire.GossipEntry{}
		for _, key := range keys {
			if mayEnter(peer.Zone, key) {
				hops := store.remainingHops[key]
				byHops[hops] = append(byHops[hops], store.entries[key])
			}
		}
		for hops := uint32(Hops); hops > 0; hops-- {
			if len(byHops[hops]) > 0 {
				store.sendEntries(peer.Address, byHops[hops], hops-1)
			}
		}
	}
	store.remainingHops = map[string]uint32{}
}

func (store *Store) sendEntries(address string, entries []*wire.GossipEntry, hops uint32) {
	message := &wire.GossipMessage{Entries: entries, Hops: hops}
	store.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_GossipMessage{GossipMessage: message}})
}

// choosePeers chooses peers at random: first from our own zone, and at least one outside it, so that little traffic
// crosses zones but no zone depends on one other zone alone.
func (store *Store) choosePeers(peers []Peer) []Peer {
	near, far := store.partition(peers)
	shuffle := func(list []Peer) {
		store.random.Shuffle(len(list), func(left, right int) { list[left], list[right] = list[right], list[left] })
	}
	shuffle(near)
	shuffle(far)
	chosen := near[:min(len(near), Fanout-1)]
	return append(append([]Peer{}, chosen...), far[:min(len(far), Fanout-len(chosen))]...)
}

// partition returns the peers in our own zone, and the others.
func (store *Store) partition(peers []Peer) (near, far []Peer) {
	for _, peer := range peers {
		if peer.Zone == store.zone {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	return near, far
}
