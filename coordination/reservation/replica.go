package reservation

import (
	"slices"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Environment is what reservations ask of the process around them.
type Environment struct {
	// MayServe reports whether this process may act under its membership at a moment. A replica grants nothing without
	// that, so that it is known when one that was cut off grants nothing any more.
	MayServe func(now time.Time) bool
	// RequestMembership asks a process for a newer membership than this one's.
	RequestMembership func(now time.Time, from string)
}

// Replica holds the reservations of this process' shards.
type Replica struct {
	self        Identity
	outbox      *statemachine.Outbox
	environment Environment
	membership  *Membership
	// zone is this process' own in the membership; it has no replicas where the membership has no such zone.
	zone *Zone
	// shards are by number; nil where this process has nothing to do with a shard.
	shards [ShardCount]*shard
	// released has the tokens of reservations that were given up of late, and until when they are remembered.
	released map[uint64]time.Time
	// lastExpiry is when reservations were last looked through for those that are held no longer.
	lastExpiry time.Time
}

// shard is what a replica holds of one shard.
type shard struct {
	*table
	// isOwned is set if this process is in the shard's group, and isReady once it holds all that it must know.
	isOwned, isReady bool
	// isSource is set if this process was ready for the shard in the zone's epoch before, so that others may learn from
	// it.
	isSource bool
	// sync is how it gets what it must know; nil: it needs nothing more.
	sync *synchronization
}

// releasedFor is for how long the token of a reservation that was given up is remembered, so that a request for it that
// was overtaken on its way does not bring it back.
const releasedFor = 2 * firstTimeout

// NewReplica returns a replica that knows no membership; it answers nothing before Adopt.
func NewReplica(self Identity, zone string, outbox *statemachine.Outbox, environment Environment) *Replica {
	return &Replica{self: self, outbox: outbox, environment: environment, membership: NewMembership(nil),
		zone: &Zone{Name: zone, previous: &Zone{}}, released: map[uint64]time.Time{}}
}

// Len returns the number of reservations that are held.
func (replica *Replica) Len() int {
	count := 0
	for _, shard := range replica.shards {
		if shard != nil {
			count += shard.len()
		}
	}
	return count
}

// IsSynced reports whether this process holds all that it must know of its shards in the present epoch.
func (replica *Replica) IsSynced() bool {
	return !slices.ContainsFunc(replica.shards[:], func(shard *shard) bool {
		return shard != nil && shard.isOwned && !shard.isReady
	})
}

// Adopt starts to act under a newer membership. From this moment on nothing is granted in an earlier epoch of the zone.
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

// nextShard returns what this process holds of a shard in an epoch of the zone that begins now; isContinuing says
// whether this process acted in the epoch directly before.
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

// Tick does what is due.
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

// expiryInterval is how often reservations are looked through for those that are held no longer.
const expiryInterval = time.Second

// HandleRequest handles a daemon's request for a reservation.
func (replica *Replica) HandleRequest(now time.Time, from string, request *wire.ReservationRequest) {
	response := replica.Reserve(now, request)
	if request.Epoch > replica.zone.Epoch {
		replica.environment.RequestMembership(now, from)
	}
	replica.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_ReservationResponse{ReservationResponse: response}})
}

// Reserve grants a request for a reservation, or says why not.
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
	case !isHeld && replica.Len() >= Limit:
		response.Outcome = wire.ReservationOutcome_RESERVATION_FULL
		response.RoomMilliseconds = uint32(replica.roomAfter(now).Milliseconds())
	default:
		shard.put(record{key: key, token: request.Token, until: now.Add(heldFor)})
		response.Outcome = wire.ReservationOutcome_RESERVATION_GRANTED
	}
	return response
}

// roomAfter returns after what time the first reservation is forgotten.
func (replica *Replica) roomAfter(now time.Time) time.Duration {
	soonest := heldFor
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

// HandleRelease gives up a reservation, and acknowledges that also where there is none.
func (replica *Replica) HandleRelease(now time.Time, from string, release *wire.ReservationRelease) {
	replica.Release(now, release)
	released := &wire.ReservationReleased{Token: release.Token}
	replica.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_ReservationReleased{ReservationReleased: released}})
}

// Release gives up a reservation if it has the release's token.
func (replica *Replica) Release(now time.Time, release *wire.ReservationRelease) {
	if len(release.Key) != KeySize {
		return
	}
	replica.released[release.Token] = now.Add(releasedFor)
	key := Key(release.Key)
	shard := replica.shards[key.shard()]
	if shard == nil || release.Token == contested || !shard.remove(key, release.Token) {
		return
	}
	// Of the first sending there is none before that could still come.
	if release.Number > 1 {
		shard.put(record{key: key, token: release.Token, refused: release.Number, until: now.Add(heldFor)})
	}
}
