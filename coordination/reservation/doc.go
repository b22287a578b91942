// Package reservation makes requests run at most once in a fleet of daemons, whoever they are sent to and however
// often. A daemon reserves a request, by a hash of its identity, before it acts on it. The reservations are held by
// replicas, which are daemons too, in their memory.
//
// # Contract
//
// The replicas are named by a Membership, which others agree on: its epoch rises with each change, and Plan derives the
// next one from the present one. In each zone a key belongs to a shard, and a shard to a group of up to GroupSize
// replicas. A group has reserved a key once a majority of it has granted that in one epoch.
//
//   - A request that its caller has never sent before needs a group of any one zone, its own by preference: one round
//     trip within the zone.
//   - A request that may have been sent before needs the groups of all zones. They share a replica with whatever group
//     any earlier sending had, which then says that the key is taken.
//
// A Coordinator obtains reservations for one daemon, a Replica holds them. Both are pure state machines: they are
// handed the time, messages, and each new Membership, and their messages are in an outbox.
//
// Why the answer "not reserved" is a proof: replicas of another epoch refuse, a replica that is new in a group answers
// only once it has what enough replicas of the epoch before held of the shard, and those answer it only after they
// have left that epoch themselves. Plan removes a replica only when it certainly grants nothing any more. Where too
// many of a group end at once, what they held is lost, and the zone's CompleteSince names the epoch from which on
// everything is known. A caller states the epoch, as its term, that it had heard of before it first sent a request. If
// that is older than CompleteSince, the request is in doubt (InDoubt), and whoever has it must not run it.
//
// A reservation that is given up leaves behind that no sending with its number or a smaller one is reserved any more,
// so that its caller can be told that none of them runs.
//
// No clocks are compared. Messages may be lost, repeated, delayed and reordered; processes may end, freeze and be cut
// off at any moment. Reservations are held for the time Keep after they were made or last renewed.
package reservation

import "time"

const (
	// GroupSize is how many replicas of a zone hold a reservation, if the zone has that many. One of three may be lost
	// without a trace.
	GroupSize = 3
	// ShardCount is into how many parts the keys are divided.
	ShardCount = 128
	// Keep is for how long a reservation is known after its request has ended or was last renewed.
	Keep = 10 * time.Minute
	// RenewInterval is how often the reservation of a request that goes on is renewed.
	RenewInterval = Keep / 4
	// heldFor is for how long a replica holds a reservation that isn't renewed: at least Keep after its request ended.
	heldFor = Keep + RenewInterval
	// MaximumReplicas bounds the replicas of a zone, so that the restart of any other daemon changes no membership.
	MaximumReplicas = 48
	// Limit bounds the reservations that one replica holds, about 30 MB.
	Limit = 1 << 18
	// Never as CompleteSince says that nothing can be told of any earlier sending yet.
	Never = ^uint64(0)
)

// KeySize is the length of a key in bytes.
const KeySize = 16

// Key identifies a request: a truncated cryptographic hash of what names it, so that keys are spread evenly.
type Key [KeySize]byte

// shard returns the shard of a key.
func (key Key) shard() uint32 { return uint32(key[0]) % ShardCount }

// Sending is what a caller states of a sending of a request.
type Sending struct {
	// Number is 1 if the caller has never sent the request before; any other number, 0 too, says that it may have.
	Number int
	// Term is the newest epoch of a Membership that the caller had heard of before it sent the request for the first
	// time; 0: none.
	Term uint64
	// NotBefore is the epoch of a Membership that the daemon knew before this sending can have been sent: before its
	// process took any connection. 0: it knew none.
	NotBefore uint64
}

// IsFirst reports whether the request was certainly not sent before.
func (sending Sending) IsFirst() bool { return sending.Number == 1 }

// number returns the number of the sending as it is sent, 0 for one that has none.
func (sending Sending) number() uint32 { return uint32(max(sending.Number, 0)) }

// Majority returns how many replicas of a group of a size make up a majority.
func Majority(size int) int {
	if size == 0 {
		return 0
	}
	return size/2 + 1
}

// ReadQuorum returns how many replicas of a group of a size hold, together, whatever a majority of it has granted.
func ReadQuorum(size int) int {
	if size == 0 {
		return 0
	}
	return size - Majority(size) + 1
}
