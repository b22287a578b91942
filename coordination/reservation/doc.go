// Package reservation makes requests run at most once in a fleet of daemons, whichever daemons they are sent to and
// however often. A daemon reserves a request, by a hash of its identity, before it executes it. Replicas, which are
// daemons too, hold the reservations in memory.
//
// # Contract
//
// A Membership names the replicas. The daemons receive it from the control machines, which agree on it; its epoch rises
// with each change, and Plan derives the next membership from the present one. In each zone a key belongs to a shard,
// and a shard to a group of up to GroupSize replicas. A group has reserved a key once a majority of the group has
// granted the reservation in one epoch.
//
//   - A first attempt, a request that its client has never sent before, needs the group of any one zone, preferably the
//     daemon's own: one round trip within the zone.
//   - A request that may have been sent before needs the groups of all zones. Their majorities share a replica with the
//     majority that granted any earlier attempt, and that replica answers that the key is taken.
//
// A Coordinator obtains reservations for one daemon, a Replica holds them. Both are pure state machines: their caller
// passes them the time, received messages and each new Membership, and sends the messages in their outbox.
//
// The answer "not reserved" is a proof for three reasons. Replicas that act in another epoch refuse. A replica that is
// new in a group answers only once it has received the shard from enough replicas of the previous epoch, and those
// answer it only after they have left that epoch themselves. Plan removes a replica only when it certainly grants
// nothing any more. If too many replicas of a group end at once, the reservations they held are lost, and the zone's
// CompleteSince becomes the epoch from which on the replicas know every reservation. A client states, as its term, the
// epoch that it knew before it first sent the request. If the term is older than CompleteSince, the request is in doubt
// (InDoubt), and a daemon must not execute it.
//
// When a reservation is released, the replicas reserve no later request for the key with the same or a smaller attempt
// number, so that the client can be notified that none of these attempts is executed.
//
// Clocks of different processes are never compared. Messages may be lost, repeated, delayed and reordered; processes
// may end, freeze and be cut off at any moment. Replicas keep a reservation for at least MinimumRetention after it was
// made or last renewed.
package reservation

import "time"

const (
	// GroupSize is the number of replicas of a zone that hold a reservation, or all replicas of a smaller zone. One of
	// three may be lost without losing a reservation.
	GroupSize = 3
	// ShardCount is the number of shards into which keys are divided.
	ShardCount = 128
	// MinimumRetention is the minimum retention period of a reservation after the end of its request or its last renewal.
	MinimumRetention = 10 * time.Minute
	// RenewInterval is the interval between renewals of the reservation of a request in progress.
	RenewInterval = MinimumRetention / 4
	// replicaRetention is the retention period of a reservation at a replica since it was granted or last renewed. It
	// exceeds MinimumRetention by RenewInterval, since a request may end just before its next renewal.
	replicaRetention = MinimumRetention + RenewInterval
	// MaximumReplicas is the maximum number of replicas in a zone. The other daemons of a larger zone can restart without
	// a change of the membership.
	MaximumReplicas = 48
	// MaximumReservations is the maximum number of reservations that one replica holds; they take about 30 MB.
	MaximumReservations = 1 << 18
	// NeverComplete is the value of CompleteSince of a zone whose replicas may lack reservations of any earlier epoch.
	NeverComplete = ^uint64(0)
)

// KeySize is the length of a key in bytes.
const KeySize = 16

// Key identifies a request: a truncated cryptographic hash of its identity, so that keys are evenly distributed over
// the shards.
type Key [KeySize]byte

// shard returns the shard of a key.
func (key Key) shard() uint32 { return uint32(key[0]) % ShardCount }

// ClientAttempt describes one client attempt of a request: what the client states and when it can have sent it.
type ClientAttempt struct {
	// Number is 1 for a first attempt, which the client has never sent before. With any other number, also 0, the request
	// may have been sent before.
	Number int
	// Term is the epoch of the newest Membership that the client knew of before its first attempt; 0: none.
	Term uint64
	// NotBefore is the epoch of a Membership that the daemon had adopted before it accepted any connection, and thus
	// before this attempt was sent to it. 0: none.
	NotBefore uint64
}

// IsFirst reports whether this is a first attempt.
func (attempt ClientAttempt) IsFirst() bool { return attempt.Number == 1 }

// number returns the number of the attempt on the wire, 0 if it has none.
func (attempt ClientAttempt) number() uint32 { return uint32(max(attempt.Number, 0)) }

// Majority returns the size of a majority of a group of the given size.
func Majority(size int) int {
	if size == 0 {
		return 0
	}
	return size/2 + 1
}

// ReadQuorum returns the number of replicas that suffices to share a member with every majority of a group of the given
// size. Together these replicas hold every reservation that the group has granted.
func ReadQuorum(size int) int {
	if size == 0 {
		return 0
	}
	return size - Majority(size) + 1
}
