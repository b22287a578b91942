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
	// resendInterval is the interval at which requests and releases are sent again to replicas that have not answered.
	resendInterval = 50 * time.Millisecond
	// zoneTimeout is the time limit of a first attempt in one zone, after which the replicas of the next zone are asked.
	zoneTimeout = 100 * time.Millisecond
	// reserveTimeout is the time limit of the reservation of a retry, firstTimeout that of a first attempt. A fleet whose
	// daemons have all restarted agrees on new replicas within firstTimeout.
	reserveTimeout = 500 * time.Millisecond
	firstTimeout   = time.Second
	// releaseTimeout is the period, from its first transmission, during which an unacknowledged release is sent again.
	releaseTimeout = 2 * time.Second
)

// zoneState is the state of a zone that decides which attempts its replicas can reserve.
type zoneState struct {
	// completeSince and firstEpoch are Zone.CompleteSince and Zone.FirstEpoch.
	completeSince, firstEpoch uint64
	// observedAt is the time at which this state was first observed.
	observedAt time.Time
}

func (state zoneState) equals(other zoneState) bool {
	return state.completeSince == other.completeSince && state.firstEpoch == other.firstEpoch
}

// Coordinator obtains reservations for the requests of one daemon, and renews them while the requests are in progress.
type Coordinator struct {
	self        Identity
	zone        string
	outbox      *statemachine.Outbox
	random      *rand.Rand
	environment Environment
	// local is the replica of this process.
	local      *Replica
	membership *Membership
	// pending holds the undecided reservations, and releases the releases that are not acknowledged, both by token.
	pending  map[uint64]*Reservation
	releases map[uint64]*pendingRelease
	// renewals holds granted reservations in the order in which their renewal is due; some may have ended. renewing is the
	// number of those that have not.
	renewals []*Reservation
	renewing int
	// zones holds the state of each zone by its name.
	zones    map[string]zoneState
	counters Counters
}

// NewCoordinator returns a coordinator without a membership; local is the replica of the same process.
func NewCoordinator(self Identity, zone string, outbox *statemachine.Outbox, random *rand.Rand, local *Replica,
	environment Environment) *Coordinator {
	return &Coordinator{self: self, zone: zone, outbox: outbox, random: random, environment: environment, local: local,
		membership: NewMembership(nil), pending: map[uint64]*Reservation{}, releases: map[uint64]*pendingRelease{},
		zones: map[string]zoneState{}}
}

// Membership returns the present membership.
func (coordinator *Coordinator) Membership() *Membership { return coordinator.membership }

// Term returns the term that clients state for requests that they send for the first time from now on; 0 while no
// membership is in force.
func (coordinator *Coordinator) Term() uint64 {
	if !coordinator.membership.IsInForce() {
		return 0
	}
	return coordinator.membership.Epoch()
}

// Adopt starts to act under a newer membership. Undecided reservations are requested again from its replicas, and
// granted ones are renewed there.
func (coordinator *Coordinator) Adopt(now time.Time, membership *Membership) {
	if membership.Epoch() <= coordinator.membership.Epoch() {
		return
	}
	coordinator.membership = membership
	for _, zone := range membership.Zones() {
		state := zoneState{completeSince: zone.CompleteSince, firstEpoch: zone.FirstEpoch, observedAt: now}
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

// Reserve starts to reserve a request.
func (coordinator *Coordinator) Reserve(now time.Time, key Key, attempt ClientAttempt) *Reservation {
	reservation := &Reservation{key: key, token: coordinator.newToken(), attempt: attempt,
		done: make(chan struct{}), deadline: now.Add(reserveTimeout), contacted: map[string]bool{}}
	if attempt.IsFirst() {
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

// start requests a reservation from the replicas of the present membership.
func (coordinator *Coordinator) start(now time.Time, reservation *Reservation) {
	attempt, zones := reservation.attempt, coordinator.orderedZones()
	if attempt.IsFirst() {
		zones = slices.DeleteFunc(zones, func(zone *Zone) bool { return !coordinator.isUsable(now, zone, attempt) })
	}
	isComplete := func(zone *Zone) bool { return coordinator.isComplete(now, zone, attempt.Term) }
	if attempt.IsFirst() && len(zones) == 0 ||
		!attempt.IsFirst() && slices.ContainsFunc(zones, func(zone *Zone) bool { return !isComplete(zone) }) {
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

// isComplete reports whether the replicas of a zone know every reservation made there since a term. Losses older than
// the retention period of reservations do not matter.
func (coordinator *Coordinator) isComplete(now time.Time, zone *Zone, term uint64) bool {
	return zone.CompleteSince <= term || zone.CompleteSince != NeverComplete && coordinator.isStable(now, zone)
}

// isUsable reports whether a zone may reserve a first attempt: its replicas must know the reservation of every retry,
// whether the retry arrives earlier or later. A retry is reserved in all zones that its daemon knows of, and has the
// same term. So the zone must have had replicas in the epoch of the term, and must have lost nothing since. A first
// attempt that reaches this process was not sent before the process started, so that earlier losses don't matter.
func (coordinator *Coordinator) isUsable(now time.Time, zone *Zone, attempt ClientAttempt) bool {
	if len(zone.Replicas) == 0 || zone.FirstEpoch > attempt.Term && !coordinator.isStable(now, zone) {
		return false
	}
	// Until the zone is complete, no retry is granted in any zone.
	return zone.CompleteSince == NeverComplete || coordinator.isComplete(now, zone, max(attempt.Term, attempt.NotBefore))
}

// isStable reports whether a zone's state has been unchanged for the retention period of reservations.
func (coordinator *Coordinator) isStable(now time.Time, zone *Zone) bool {
	known := coordinator.zones[zone.Name]
	return known.completeSince == zone.CompleteSince && now.Sub(known.observedAt) >= replicaRetention
}

// activeVotes returns the votes of the zones whose replicas are currently asked.
func (coordinator *Coordinator) activeVotes(reservation *Reservation) []*zoneVote {
	if reservation.attempt.IsFirst() {
		return reservation.zones[reservation.current : reservation.current+1]
	}
	return reservation.zones
}

// proceed sends the request to replicas whose answer is missing, and decides the reservation if the answers suffice. A
// daemon whose membership is older than the attempt's term may not know of all zones, and waits for a newer one.
func (coordinator *Coordinator) proceed(now time.Time, reservation *Reservation) {
	if reservation.attempt.Term > coordinator.membership.Epoch() {
		return
	}
	for _, vote := range coordinator.activeVotes(reservation) {
		if now.Sub(vote.lastAsked) >= resendInterval {
			vote.lastAsked = now
			coordinator.ask(now, reservation, vote)
		}
	}
	coordinator.evaluate(now, reservation)
}

// Tick sends requests again, decides reservations whose deadline has passed as Unreachable, and renews granted ones.
func (coordinator *Coordinator) Tick(now time.Time) {
	for _, token := range slices.Sorted(maps.Keys(coordinator.pending)) {
		reservation := coordinator.pending[token]
		if !now.Before(reservation.deadline) {
			coordinator.decide(now, reservation, Unreachable)
			continue
		}
		if reservation.attempt.IsFirst() && !now.Before(reservation.zoneDeadline) {
			reservation.current = (reservation.current + 1) % len(reservation.zones)
			reservation.zoneDeadline = now.Add(zoneTimeout)
		}
		coordinator.proceed(now, reservation)
	}
	coordinator.renew(now)
	coordinator.resendReleases(now)
}
