package reservation

import (
	"slices"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Environment holds the callbacks to the surrounding process.
type Environment struct {
	// MayServe reports whether this process may act under its membership at a given time. A replica grants nothing while
	// its process may not act, which bounds the time for which an isolated replica can still grant.
	MayServe func(now time.Time) bool
	// RequestMembership requests a newer membership from the process at an address.
	RequestMembership func(now time.Time, from string)
}

// Replica holds the reservations of the shards of this process.
type Replica struct {
	self        Identity
	outbox      *statemachine.Outbox
	environment Environment
	membership  *Membership
	// zone is the zone of this process in the membership; it has no replicas if the membership has no such zone.
	zone *Zone
	// shards are indexed by number; nil: this process neither holds the shard nor passes it on.
	shards [ShardCount]*shard
	// released holds the tokens of recently released reservations, each with the time when its retention ends.
	released map[uint64]time.Time
	// lastExpiry is the time of the latest scan for expired reservations.
	lastExpiry time.Time
}

// shard is the state of one shard at a replica.
type shard struct {
	*table
	// isOwned is set if this process is in the shard's group, isReady once it holds every reservation that it must know.
	isOwned, isReady bool
	// isSource is set if this process was ready for the shard in the zone's previous epoch, so that other replicas may
	// learn from it.
	isSource bool
	// sync is the synchronization in progress; nil: none.
	sync *synchronization
}

// releasedTokenRetention is the retention period of the token of a released reservation. A delayed request that its
// release has overtaken must not restore the reservation.
const releasedTokenRetention = 2 * firstTimeout

// NewReplica returns a replica without a membership; it grants nothing before Adopt.
func NewReplica(self Identity, zone string, outbox *statemachine.Outbox, environment Environment) *Replica {
	return &Replica{self: self, outbox: outbox, environment: environment, membership: NewMembership(nil),
		zone: &Zone{Name: zone, previous: &Zone{}}, released: map[uint64]time.Time{}}
}

// Len returns the number of reservations held.
func (replica *Replica) Len() int {
	count := 0
	for _, shard := range replica.shards {
		if shard != nil {
			count += shard.len()
		}
	}
	return count
}

// IsSynced reports whether this process holds every reservation of its shards that it must know in the present epoch.
func (replica *Replica) IsSynced() bool {
	return !slices.ContainsFunc(replica.shards[:], func(shard *shard) bool {
		return shard != nil && shard.isOwned && !shard.isReady
	})
}

// Adopt starts to act under a newer membership. From then on nothing is granted in an earlier epoch of the zone.
func (replica *Replica) Adopt(now time.Time, membership *Membership) {
	if membership.Epoch() <= replica.membership.Epoch() {
		return
	}
	former := replica.zone
	replica.membership, replica.zone = membership, membership.Zone(former.Name)
	if replica.zone == nil {
		replica.zone = &Zone{Name: former.Name, Epoch: membership.Epoch(), previous: &Zone{}}
	}
	if replica.zone.Epoch == former.Epoch {
		return
	}
	isContinuing := replica.zone.previous.Epoch == former.Epoch
	for number := range replica.shards {
		isOwned := slices.Contains(replica.zone.Group(uint32(number)), replica.self)
		replica.shards[number] = replica.nextShard(now, uint32(number), isOwned, isContinuing)
	}
	replica.sendSyncRequests(now)
}

// nextShard returns the state of a shard in an epoch of the zone that begins now; isContinuing is set if this process
// acted in the epoch directly before.
func (replica *Replica) nextShard(now time.Time, number uint32, isOwned, isContinuing bool) *shard {
	former := replica.shards[number]
	wasReady := isContinuing && former != nil && former.isOwned && former.isReady
	if !isOwned && !wasReady {
		return nil
	}
	next := &shard{isOwned: isOwned, isSource: wasReady, isReady: isOwned && wasReady}
	if former != nil {
		next.table = former.table
	} else {
		next.table = newTable()
	}
	if isOwned && !wasReady {
		next.sync = newSynchronization(now, replica.zone, number, replica.self)
		next.isReady = next.sync.isComplete(now)
	}
	return next
}

// Tick sends due synchronization requests and removes expired reservations and tokens.
func (replica *Replica) Tick(now time.Time) {
	replica.sendSyncRequests(now)
	if now.Sub(replica.lastExpiry) < expiryInterval {
		return
	}
	replica.lastExpiry = now
	for _, shard := range replica.shards {
		if shard != nil {
			shard.expire(now)
		}
	}
	for token, until := range replica.released {
		if !now.Before(until) {
			delete(replica.released, token)
		}
	}
}

// expiryInterval is the interval between scans for expired reservations.
const expiryInterval = time.Second

// HandleRequest answers a daemon's request for a reservation.
func (replica *Replica) HandleRequest(now time.Time, from string, request *wire.ReservationRequest) {
	response := replica.Reserve(now, request)
	if request.Epoch > replica.zone.Epoch {
		replica.environment.RequestMembership(now, from)
	}
	replica.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_ReservationResponse{ReservationResponse: response}})
}

// Reserve grants a request for a reservation, or returns the reason for the refusal.
func (replica *Replica) Reserve(now time.Time, request *wire.ReservationRequest) *wire.ReservationResponse {
	response := &wire.ReservationResponse{Epoch: replica.zone.Epoch, Token: request.Token}
	if request.Epoch != replica.zone.Epoch || len(request.Key) != KeySize || !replica.environment.MayServe(now) {
		return response
	}
	key := Key(request.Key)
	shard := replica.shards[key.shard()]
	if _, isReleased := replica.released[request.Token]; isReleased || shard == nil || !shard.isOwned || !shard.isReady {
		return response
	}
	held, isHeld := shard.get(key)
	if isHeld && !now.Before(held.until) {
		isHeld = false
	}
	switch {
	case isHeld && !held.admits(request.Token, request.Number):
		response.Outcome = wire.ReservationOutcome_RESERVATION_TAKEN
	case !isHeld && replica.Len() >= MaximumReservations:
		response.Outcome = wire.ReservationOutcome_RESERVATION_FULL
		response.RoomMilliseconds = uint32(replica.untilNextExpiry(now).Milliseconds())
	default:
		shard.put(record{key: key, token: request.Token, until: now.Add(replicaRetention)})
		response.Outcome = wire.ReservationOutcome_RESERVATION_GRANTED
	}
	return response
}

// untilNextExpiry returns the time until the first reservation expires.
func (replica *Replica) untilNextExpiry(now time.Time) time.Duration {
	soonest := replicaRetention
	for _, shard := range replica.shards {
		if shard == nil {
			continue
		}
		if until, found := shard.oldest(); found {
			soonest = min(soonest, until.Sub(now))
		}
	}
	return max(soonest, 0)
}

// HandleRelease releases a reservation. It acknowledges the release even if there is no such reservation.
func (replica *Replica) HandleRelease(now time.Time, from string, release *wire.ReservationRelease) {
	replica.Release(now, release)
	released := &wire.ReservationReleased{Token: release.Token}
	replica.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_ReservationReleased{ReservationReleased: released}})
}

// Release removes the reservation that has the token of the release, if there is one.
func (replica *Replica) Release(now time.Time, release *wire.ReservationRelease) {
	if len(release.Key) != KeySize {
		return
	}
	replica.released[release.Token] = now.Add(releasedTokenRetention)
	key := Key(release.Key)
	shard := replica.shards[key.shard()]
	if shard == nil || release.Token == contested || !shard.remove(key, release.Token) {
		return
	}
	// No attempt precedes the first one, so that no smaller number has to be refused.
	if release.Number > 1 {
		shard.put(record{key: key, token: release.Token, refusedUpTo: release.Number, until: now.Add(replicaRetention)})
	}
}
