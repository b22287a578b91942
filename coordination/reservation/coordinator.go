package reservation

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// resendInterval is how often a replica that has not answered is asked again.
	resendInterval = 50 * time.Millisecond
	// zoneTimeout is for how long a request that is sent for the first time waits for the replicas of one zone before it
	// turns to those of the next.
	zoneTimeout = 100 * time.Millisecond
	// reserveTimeout is for how long replicas are waited for, and firstTimeout where the request is sent for the first
	// time: a fleet whose daemons have all restarted agrees on new replicas within that.
	reserveTimeout = 500 * time.Millisecond
	firstTimeout   = time.Second
	// releaseTimeout is for how long a release is sent again until it is acknowledged.
	releaseTimeout = 2 * time.Second
)

// zoneState is from which epochs on a zone has its replicas and knows everything, and since when that is known.
type zoneState struct {
	since, begun uint64
	observed     time.Time
}

func (state zoneState) equals(other zoneState) bool {
	return state.since == other.since && state.begun == other.begun
}

// Coordinator obtains reservations for the requests of one daemon, and renews them for as long as the requests go on.
type Coordinator struct {
	self        Identity
	zone        string
	outbox      *statemachine.Outbox
	random      *rand.Rand
	environment Environment
	// local is the replica of this process.
	local      *Replica
	membership *Membership
	// pending are the reservations that are not decided, by token; releases those that are given up.
	pending  map[uint64]*Reservation
	releases map[uint64]*pendingRelease
	// renewals are the granted ones in the order in which their renewal is due, with some that have ended; renewing counts
	// those that have not.
	renewals []*Reservation
	renewing int
	// zones tells since when each zone is as it is.
	zones    map[string]zoneState
	counters Counters
}

// NewCoordinator returns a coordinator that knows no membership; local is the replica of the same process.
func NewCoordinator(self Identity, zone string, outbox *statemachine.Outbox, random *rand.Rand, local *Replica,
	environment Environment) *Coordinator {
	return &Coordinator{self: self, zone: zone, outbox: outbox, random: random, environment: environment, local: local,
		membership: NewMembership(nil), pending: map[uint64]*Reservation{}, releases: map[uint64]*pendingRelease{},
		zones: map[string]zoneState{}}
}

// Membership returns the present membership.
func (coordinator *Coordinator) Membership() *Membership { return coordinator.membership }

// Term returns what callers state of requests that they send for the first time from now on.
func (coordinator *Coordinator) Term() uint64 {
	if !coordinator.membership.IsInForce() {
		return 0
	}
	return coordinator.membership.Epoch()
}

// Adopt starts to act under a newer membership. What is not decided is asked of its replicas anew, and what is held is
// renewed there.
func (coordinator *Coordinator) Adopt(now time.Time, membership *Membership) {
	if membership.Epoch() <= coordinator.membership.Epoch() {
		return
	}
	coordinator.membership = membership
	for _, zone := range membership.Zones() {
		state := zoneState{since: zone.CompleteSince, begun: zone.Begun, observed: now}
		if known, found := coordinator.zones[zone.Name]; !found || !known.equals(state) {
			coordinator.zones[zone.Name] = state
		}
	}
	for _, token := range slices.Sorted(maps.Keys(coordinator.pending)) {
		coordinator.start(now, coordinator.pending[token])
	}
	for _, reservation := range coordinator.renewals {
		reservation.renewedAt = time.Time{}
	}
	coordinator.renew(now)
}

// Reserve begins to reserve a request.
func (coordinator *Coordinator) Reserve(now time.Time, key Key, sending Sending) *Reservation {
	reservation := &Reservation{key: key, token: coordinator.newToken(), sending: sending,
		done: make(chan struct{}), deadline: now.Add(reserveTimeout), contacted: map[string]bool{}}
	if sending.IsFirst() {
		reservation.deadline = now.Add(firstTimeout)
	}
	if !coordinator.membership.IsInForce() {
		return Decided(NotInForce, 0)
	}
	coordinator.pending[reservation.token] = reservation
	coordinator.start(now, reservation)
	return reservation
}

// newToken draws the token of a reservation.
func (coordinator *Coordinator) newToken() uint64 {
	for {
		if token := coordinator.random.Uint64(); token != contested {
			return token
		}
	}
}

// start asks the replicas of the present membership.
func (coordinator *Coordinator) start(now time.Time, reservation *Reservation) {
	sending, zones := reservation.sending, coordinator.orderedZones()
	if sending.IsFirst() {
		zones = slices.DeleteFunc(zones, func(zone *Zone) bool { return !coordinator.isUsable(now, zone, sending) })
	}
	isComplete := func(zone *Zone) bool { return coordinator.isComplete(now, zone, sending.Term) }
	if sending.IsFirst() && len(zones) == 0 ||
		!sending.IsFirst() && slices.ContainsFunc(zones, func(zone *Zone) bool { return !isComplete(zone) }) {
		coordinator.decide(now, reservation, InDoubt)
		return
	}
	reservation.zones, reservation.current = nil, 0
	for _, zone := range zones {
		reservation.zones = append(reservation.zones, &zoneVote{zone: zone, group: zone.Group(reservation.key.shard()),
			answers: map[string]wire.ReservationOutcome{}})
	}
	reservation.zoneDeadline = now.Add(zoneTimeout)
	coordinator.proceed(now, reservation)
}

// orderedZones returns the present zones, this daemon's own first.
func (coordinator *Coordinator) orderedZones() []*Zone {
	zones := slices.Clone(coordinator.membership.Zones())
	own := slices.IndexFunc(zones, func(zone *Zone) bool { return zone.Name == coordinator.zone })
	if own > 0 {
		zone := zones[own]
		zones = slices.Insert(slices.Delete(zones, own, own+1), 0, zone)
	}
	return zones
}

// isComplete reports whether the replicas of a zone know whatever was reserved there since a term. What was lost longer
// ago than reservations are kept is no loss.
func (coordinator *Coordinator) isComplete(now time.Time, zone *Zone, term uint64) bool {
	return zone.CompleteSince <= term || zone.CompleteSince != Never && coordinator.isOld(now, zone)
}

// isUsable reports whether the replicas of a zone know whether any later sending of a request that arrives as its
// first was reserved before. Later ones are reserved in all zones that their daemons know of, by the same term: so the
// zone must have begun by then, and must not have lost anything since. A request that comes to this process was not
// sent before the process began, so that what was lost by then doesn't matter.
func (coordinator *Coordinator) isUsable(now time.Time, zone *Zone, sending Sending) bool {
	if len(zone.Replicas) == 0 || zone.Begun > sending.Term && !coordinator.isOld(now, zone) {
		return false
	}
	// As long as nothing is known of the time before, no later sending is granted anywhere.
	return zone.CompleteSince == Never || coordinator.isComplete(now, zone, max(sending.Term, sending.NotBefore))
}

// isOld reports whether a zone has been as it is for longer than reservations are kept.
func (coordinator *Coordinator) isOld(now time.Time, zone *Zone) bool {
	known := coordinator.zones[zone.Name]
	return known.since == zone.CompleteSince && now.Sub(known.observed) >= heldFor
}

// asked returns the zones that are asked at present.
func (coordinator *Coordinator) asked(reservation *Reservation) []*zoneVote {
	if reservation.sending.IsFirst() {
		return reservation.zones[reservation.current : reservation.current+1]
	}
	return reservation.zones
}

// proceed asks the replicas whose answer is missing, and decides what can be decided. A daemon that lacks what the
// caller had heard of may not know of all zones, and waits.
func (coordinator *Coordinator) proceed(now time.Time, reservation *Reservation) {
	if reservation.sending.Term > coordinator.membership.Epoch() {
		return
	}
	for _, vote := range coordinator.asked(reservation) {
		if now.Sub(vote.lastAsked) >= resendInterval {
			vote.lastAsked = now
			coordinator.ask(now, reservation, vote)
		}
	}
	coordinator.evaluate(now, reservation)
}

// Tick asks replicas again, ends what has waited for too long, and renews what goes on.
func (coordinator *Coordinator) Tick(now time.Time) {
	for _, token := range slices.Sorted(maps.Keys(coordinator.pending)) {
		reservation := coordinator.pending[token]
		if !now.Before(reservation.deadline) {
			coordinator.decide(now, reservation, Unreachable)
			continue
		}
		if reservation.sending.IsFirst() && !now.Before(reservation.zoneDeadline) {
			reservation.current = (reservation.current + 1) % len(reservation.zones)
			reservation.zoneDeadline = now.Add(zoneTimeout)
		}
		coordinator.proceed(now, reservation)
	}
	coordinator.renew(now)
	coordinator.resendReleases(now)
}
