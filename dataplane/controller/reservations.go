package controller

import (
	"math/rand"
	"reflect"
	"slices"
	"time"

	"wardtray/config"
	"wardtray/coordination/reservation"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// startupSuspensionThreshold is the pause between ticks above which a process that has no membership yet counts as
	// suspended.
	startupSuspensionThreshold = 200 * time.Millisecond
	// acceptDelay is the longest time for which an established connection waits to be accepted by a running process, also
	// right after a pause.
	acceptDelay = 300 * time.Millisecond
	// maximumTerms is the number of the newest terms that are kept.
	maximumTerms = 8
	// membershipRequestInterval is the minimum interval between requests for a newer membership.
	membershipRequestInterval = 20 * time.Millisecond
)

// reservations coordinates and replicates the reservations of at-most-once requests. It does nothing unless it is
// enabled.
type reservations struct {
	enabled       bool
	isolation     time.Duration
	configuration *configuration
	replica       *reservation.Replica
	coordinator   *reservation.Coordinator
	// challenge is the challenge in the newest grant.
	challenge uint64
	// reportDue is set if a lease request should return a new challenge to the head at once.
	reportDue bool
	wasSynced bool
	// terms holds the newest terms that this process has adopted. Snapshots share the slice, so it is replaced and never
	// modified.
	terms                 []config.KnownTerm
	wasSuspended          bool
	lastTick              time.Time
	lastMembershipRequest time.Time
}

// newReservations returns the reservations of a process that has just started.
func newReservations(now time.Time, settings Settings, incarnation uint64, configuration *configuration,
	outbox *statemachine.Outbox, random *rand.Rand, environment reservation.Environment) *reservations {
	self := reservation.Identity{Address: settings.Address, Incarnation: incarnation}
	created := &reservations{enabled: settings.ReservationsEnabled, isolation: settings.IsolationLimit,
		configuration: configuration, lastTick: now}
	created.replica = reservation.NewReplica(self, settings.Zone, outbox, environment)
	created.coordinator = reservation.NewCoordinator(self, settings.Zone, outbox, random, created.replica, environment)
	return created
}

// adopt adopts the membership in a document that was just adopted, if the membership is newer.
func (reservations *reservations) adopt(now time.Time, message *wire.ReservationMembership) {
	if !reservations.enabled || message.GetEpoch() <= reservations.coordinator.Membership().Epoch() {
		return
	}
	reservations.recordTerm(now, message.Epoch)
	membership := reservation.NewMembership(message)
	reservations.replica.Adopt(now, membership)
	reservations.coordinator.Adopt(now, membership)
}

// recordTerm records a term that this process adopts now, and the time Since: every connection that is accepted after
// Since was established after the adoption. Since is acceptDelay from now, the longest time for which a connection
// waits to be accepted while the process runs. For the first term Since is zero, as no connection was established
// before the process started, unless the process was suspended before it adopted the term.
func (reservations *reservations) recordTerm(now time.Time, term uint64) {
	known := config.KnownTerm{Term: term, Since: now.Add(acceptDelay)}
	if len(reservations.terms) == 0 && !reservations.wasSuspended {
		known.Since = time.Time{}
	}
	kept := reservations.terms[max(0, len(reservations.terms)-maximumTerms+1):]
	reservations.terms = append(slices.Clone(kept), known)
}

// tick performs the periodic work that is due, and detects a suspension before the first membership.
func (reservations *reservations) tick(now time.Time) {
	if !reservations.enabled {
		return
	}
	if now.Sub(reservations.lastTick) > startupSuspensionThreshold && reservations.coordinator.Membership().Epoch() == 0 {
		reservations.wasSuspended = true
	}
	reservations.lastTick = now
	reservations.replica.Tick(now)
	reservations.coordinator.Tick(now)
}

// report returns the part of a lease request on reservations, or nil if they are disabled.
func (reservations *reservations) report() *wire.ReservationReport {
	if !reservations.enabled {
		return nil
	}
	return &wire.ReservationReport{
		Epoch:                 reservations.coordinator.Membership().Epoch(),
		Synced:                reservations.replica.IsSynced(),
		IsolationMilliseconds: uint32(reservations.isolation.Milliseconds()),
	}
}

// handlers returns the handlers of the messages on reservations, by message type.
func (reservations *reservations) handlers() map[reflect.Type]func(now time.Time, envelope *wire.Envelope) {
	return map[reflect.Type]func(now time.Time, envelope *wire.Envelope){
		reflect.TypeFor[*wire.Envelope_ReservationRequest](): func(now time.Time, envelope *wire.Envelope) {
			reservations.replica.HandleRequest(now, envelope.From, envelope.GetReservationRequest())
		},
		reflect.TypeFor[*wire.Envelope_ReservationResponse](): func(now time.Time, envelope *wire.Envelope) {
			reservations.coordinator.HandleResponse(now, envelope.From, envelope.GetReservationResponse())
		},
		reflect.TypeFor[*wire.Envelope_ReservationRelease](): func(now time.Time, envelope *wire.Envelope) {
			reservations.replica.HandleRelease(now, envelope.From, envelope.GetReservationRelease())
		},
		reflect.TypeFor[*wire.Envelope_ReservationReleased](): func(_ time.Time, envelope *wire.Envelope) {
			reservations.coordinator.HandleReleased(envelope.From, envelope.GetReservationReleased())
		},
		reflect.TypeFor[*wire.Envelope_ReservationSyncRequest](): func(now time.Time, envelope *wire.Envelope) {
			reservations.replica.HandleSyncRequest(now, envelope.From, envelope.GetReservationSyncRequest())
		},
		reflect.TypeFor[*wire.Envelope_ReservationSyncResponse](): func(now time.Time, envelope *wire.Envelope) {
			reservations.replica.HandleSyncResponse(now, envelope.From, envelope.GetReservationSyncResponse())
		},
	}
}

// onChallenge handles the challenge in a grant. The head considers this process alive once the challenge is returned.
func (reservations *reservations) onChallenge(challenge uint64) {
	if challenge != 0 && challenge != reservations.challenge {
		reservations.challenge, reservations.reportDue = challenge, true
	}
}

// takeReportDue reports whether a lease request should be sent to the head at once, because there is a new challenge or
// the replica has become synced. It reports each change once.
func (reservations *reservations) takeReportDue() bool {
	isSynced := reservations.enabled && reservations.replica.IsSynced()
	isDue := reservations.reportDue || isSynced && !reservations.wasSynced
	reservations.reportDue, reservations.wasSynced = false, isSynced
	return isDue
}

// mayRequestMembership reports whether a newer membership may be requested now, and if so records the request.
func (reservations *reservations) mayRequestMembership(now time.Time) bool {
	if now.Sub(reservations.lastMembershipRequest) < membershipRequestInterval {
		return false
	}
	reservations.lastMembershipRequest = now
	return true
}

// Reserve starts the reservation of a client attempt of an at-most-once request. Settings.ReservationsEnabled must be
// set.
func (controller *Controller) Reserve(now time.Time, key reservation.Key,
	clientAttempt reservation.ClientAttempt) *reservation.Reservation {
	return controller.reservations.coordinator.Reserve(now, key, clientAttempt)
}

// ReleaseReservation releases the reservation, decided or not, of a request that certainly did not and will not run.
func (controller *Controller) ReleaseReservation(now time.Time, held *reservation.Reservation) {
	controller.reservations.coordinator.Release(now, held)
}

// FinishReservation stops the renewals of the reservation of a request that has ended and may have run.
func (controller *Controller) FinishReservation(held *reservation.Reservation) {
	controller.reservations.coordinator.Finish(held)
}

// ReservationStatus is the part of a daemon's status on reservations.
type ReservationStatus struct {
	// Epoch is the epoch of the daemon's membership.
	Epoch uint64 `json:"epoch"`
	// Synced reports whether the daemon's replica holds all reservations that it must hold in that membership.
	Synced bool `json:"synced"`
	// Held is the number of reservations in the daemon's replica, including the daemon's own.
	Held int `json:"held"`
	// Zones holds the state of each zone's replicas, by the zone's name.
	Zones map[string]ReservationZoneStatus `json:"zones"`
	reservation.Counters
}

// ReservationZoneStatus is the state of a zone's replicas.
type ReservationZoneStatus struct {
	Replicas int `json:"replicas"`
	// CompleteSince is the epoch from which on the replicas hold every reservation; 0 while Forming is set.
	CompleteSince uint64 `json:"complete_since"`
	// Forming is set while there is no such epoch yet.
	Forming bool `json:"forming,omitempty"`
}

// ReservationStatus returns the status of this daemon's reservations, or nil if they are disabled.
func (controller *Controller) ReservationStatus() *ReservationStatus {
	reservations := controller.reservations
	if !reservations.enabled {
		return nil
	}
	membership := reservations.coordinator.Membership()
	status := &ReservationStatus{Epoch: membership.Epoch(), Synced: reservations.replica.IsSynced(),
		Held: reservations.replica.Len(), Zones: map[string]ReservationZoneStatus{},
		Counters: reservations.coordinator.Counters()}
	for _, zone := range membership.Zones() {
		zoneStatus := ReservationZoneStatus{Replicas: len(zone.Replicas), CompleteSince: zone.CompleteSince}
		if zone.CompleteSince == reservation.NeverComplete {
			zoneStatus.CompleteSince, zoneStatus.Forming = 0, true
		}
		status.Zones[zone.Name] = zoneStatus
	}
	return status
}
