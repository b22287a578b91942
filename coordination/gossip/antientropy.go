package gossip

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// digestInterval is how often a digest is sent to a peer.
	digestInterval = 500 * time.Millisecond
	// repairHops is how many times what a digest found is forwarded: whoever missed a message is
	// likely not alone.
	repairHops = 2
	// farDigestOneIn is how many digests there are for one to a peer beyond our own zone: bytes
	// within the zone are cheap, and only its peers have the entries that never leave it.
	farDigestOneIn = 4
)

// compareDigests sends a digest to one peer where the interval has passed.
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

// HandleDigest handles the digest of a peer in a zone: it sends what the peer lacks and, if a response is
// wanted, our own digest where the peer has something newer.
func (store *Store) HandleDigest(_ time.Time, from, zone string, message *wire.Digest) {
	if missing := store.missingIn(message, zone); len(missing) > 0 {
		store.sendEntries(from, missing, repairHops)
	}
	if message.ResponseWanted && store.lacksAny(message) {
		store.sendDigest(from, zone, false)
	}
}

// missingIn returns the entries that the sender of a digest, in a zone, lacks or has in an older version.
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

// lacksAny reports whether a digest names a newer version of any entry of our zone than we have.
func (store *Store) lacksAny(digest *wire.Digest) bool {
	return slices.ContainsFunc(digest.Entries, func(summary *wire.DigestEntry) bool {
		return mayEnter(store.zone, summary.Key) && newer(summary, store.entries[summary.Key])
	})
}

func (store *Store) keys() []string { return slices.Sorted(maps.Keys(store.entries)) }
