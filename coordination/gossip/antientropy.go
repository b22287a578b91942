package gossip

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// digestInterval is the interval between the digests that a store sends, each to one peer.
	digestInterval = 500 * time.Millisecond
	// repairHops is the number of times that an entry found missing by a digest is forwarded: other peers have probably
	// missed it too.
	repairHops = 2
	// One in farDigestOneIn digests, on average, goes to a peer outside our own zone. Traffic within the zone is cheap,
	// and only peers in the zone have the entries that never leave it.
	farDigestOneIn = 4
)

// compareDigests sends a digest to one peer if digestInterval has passed since the last one.
func (store *Store) compareDigests(now time.Time) {
	if now.Sub(store.lastDigest) < digestInterval {
		return
	}
	store.lastDigest = now
	partners := store.partners()
	if len(partners) == 0 {
		return
	}
	candidates, far := store.partition(partners)
	if len(candidates) == 0 || len(far) > 0 && store.random.Intn(farDigestOneIn) == 0 {
		candidates = far
	}
	peer := candidates[store.random.Intn(len(candidates))]
	store.sendDigest(peer.Address, peer.Zone, true)
}

func (store *Store) sendDigest(address, zone string, responseWanted bool) {
	digest := &wire.Digest{ResponseWanted: responseWanted}
	for _, key := range store.keys() {
		if entry := store.entries[key]; mayEnter(zone, key) {
			digest.Entries = append(digest.Entries, &wire.DigestEntry{
				Key: key, Epoch: entry.Epoch, Count: entry.Count, Writer: entry.Writer,
			})
		}
	}
	store.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Digest{Digest: digest}})
}

// HandleDigest handles the digest of a peer in a zone. It sends the entries that the peer lacks. If a response is
// wanted and the peer has newer entries, it also sends our own digest.
func (store *Store) HandleDigest(_ time.Time, from, zone string, message *wire.Digest) {
	if missing := store.missingIn(message, zone); len(missing) > 0 {
		store.sendEntries(from, missing, repairHops)
	}
	if message.ResponseWanted && store.lacksAny(message) {
		store.sendDigest(from, zone, false)
	}
}

// missingIn returns the entries that the sender of a digest, in a zone, lacks or has only in an older version.
func (store *Store) missingIn(digest *wire.Digest, zone string) []*wire.GossipEntry {
	theirs := map[string]*wire.DigestEntry{}
	for _, summary := range digest.Entries {
		theirs[summary.Key] = summary
	}
	var missing []*wire.GossipEntry
	for _, key := range store.keys() {
		if !mayEnter(zone, key) {
			continue
		}
		if summary := theirs[key]; summary == nil || isGreater(store.entries[key], summary) {
			missing = append(missing, store.entries[key])
		}
	}
	return missing
}

// lacksAny reports whether a digest names a newer version than ours of an entry that may enter our zone.
func (store *Store) lacksAny(digest *wire.Digest) bool {
	return slices.ContainsFunc(digest.Entries, func(summary *wire.DigestEntry) bool {
		return mayEnter(store.zone, summary.Key) && newer(summary, store.entries[summary.Key])
	})
}

func (store *Store) keys() []string { return slices.Sorted(maps.Keys(store.entries)) }
