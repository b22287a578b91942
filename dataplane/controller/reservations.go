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
	// startupPause is after what pause between ticks a process that is starting counts as suspended.
	startupPause = 200 * time.Millisecond
	// acceptDelay is for how long a connection may wait to be taken by a process that runs, also right after a pause.
	acceptDelay = 300 * time.Millisecond
	// maximumTerms bounds the terms that are remembered.
	maximumTerms = 8
	// membershipRequestInterval is how often a newer membership is asked for at most.
	membershipRequestInterval = 20 * time.Millisecond
)

// reservations makes and holds the reservations of requests that run at most once. Where the daemon makes none it does
// nothing.
type reservations struct {
	isEnabled     bool
	isolation     time.Duration
	configuration *configuration
	replica       *reservation.Replica
	coordinator   *reservation.Coordinator
	// challenge is that of the newest grant.
	challenge uint64
	// reportDue is set if the head should hear at once what has changed.
	reportDue bool
	wasSynced bool
	// terms are the newest that this process has known. The slice is replaced, never changed.
	terms         []config.KnownTerm
	wasSuspended  bool
	lastTick      time.Time
	lastRequested time.Time
}

// newReservations returns the reservations of a process that starts now.
func newReservations(now time.Time, settings Settings, incarnation uint64, configuration *configuration,
	outbox *statemachine.Outbox, random *rand.Rand, environment reservation.Environment) *reservations {
	self := reservation.Identity{Address: settings.Address, Incarnation: incarnation}
	made := &reservations{isEnabled: settings.Reserves, isolation: settings.WithoutCore, configuration: configuration,
		lastTick: now}
	made.replica = reservation.NewReplica(self, settings.Zone, outbox, environment)
	made.coordinator = reservation.NewCoordinator(self, settings.Zone, outbox, random, made.replica, environment)
	return made
}

// adopt follows the membership of a document that was just adopted.
func (reservations *reservations) adopt(now time.Time, message *wire.ReservationMembership) {
	if !reservations.isEnabled || message.GetEpoch() <= reservations.coordinator.Membership().Epoch() {
		return
	}
	reservations.noteTerm(now, message.Epoch)
	membership := reservation.NewMembership(message)
	reservations.replica.Adopt(now, membership)
	reservations.coordinator.Adopt(now, membership)
}

// noteTerm notes a term that this process knows from now on. A connection that the process takes from now on was made
// before only if it has waited to be taken, which lasts for acceptDelay at most where the process runs. Nothing was
// made before the process began, unless it was suspended meanwhile.
func (reservations *reservations) noteTerm(now time.Time, term uint64) {
	known := config.KnownTerm{Term: term, Since: now.Add(acceptDelay)}
	if len(reservations.terms) == 0 && !reservations.wasSuspended {
		known.Since = time.Time{}
	}
	kept := reservations.terms[max(0, len(reservations.terms)-maximumTerms+1):]
	reservations.terms = append(slices.Clone(kept), known)
}

// tick does what is due.
func (reservations *reservations) tick(now time.Time) {
	if !reservations.isEnabled {
		return
	}
	if now.Sub(reservations.lastTick) > startupPause && reservations.coordinator.Membership().Epoch() == 0 {
		reservations.wasSuspended = true
	}
	reservations.lastTick = now
	reservations.replica.Tick(now)
	reservations.coordinator.Tick(now)
}

// report returns what a lease request tells the head; nil: this daemon makes no reservations.
func (reservations *reservations) report() *wire.ReservationReport {
	if !reservations.isEnabled {
		return nil
	}
	return &wire.ReservationReport{
		Epoch:                 reservations.coordinator.Membership().Epoch(),
		Synced:                reservations.replica.IsSynced(),
		IsolationMilliseconds: uint32(reservations.isolation.Milliseconds()),
	}
}

// handlers returns what handles the messages between daemons that make reservations.
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

// onChallenge handles the challenge of a grant. The head takes this process for alive once it is returned.
func (reservations *reservations) onChallenge(challenge uint64) {
	if challenge != 0 && challenge != reservations.challenge {
		reservations.challenge, reservations.reportDue = challenge, true
	}
}

// takeReport reports, once for each time, that the head should hear at once what has changed.
func (reservations *reservations) takeReport() bool {
	isSynced := reservations.isEnabled && reservations.replica.IsSynced()
	isDue := reservations.reportDue || isSynced && !reservations.wasSynced
	reservations.reportDue, reservations.wasSynced = false, isSynced
	return isDue
}

// mayRequestMembership reports whether a newer membership may be asked for now, and notes that it is.
func (reservations *reservations) mayRequestMembership(now time.Time) bool {
	if now.Sub(reservations.lastRequested) < membershipRequestInterval {
		return false
	}
	reservations.lastRequested = now
	return true
}

// Reserve begins to reserve a request that must run at most once, for a daemon whose Settings.Reserves is set.
func (controller *Controller) Reserve(now time.Time, key reservation.Key,
	sending reservation.Sending) *reservation.Reservation {
	return controller.reservations.coordinator.Reserve(now, key, sending)
}

// ReleaseReservation gives up the reservation, decided or not, of a request that certainly did not and will not run.
func (controller *Controller) ReleaseReservation(now time.Time, held *reservation.Reservation) {
	controller.reservations.coordinator.Release(now, held)
}

// FinishReservation ends the renewals of the reservation of a request that has ended and may have run.
func (controller *Controller) FinishReservation(held *reservation.Reservation) {
	controller.reservations.coordinator.Finish(held)
}

// ReservationStatus is what a daemon knows of reservations.
type ReservationStatus struct {
	// Epoch is that of the membership that it acts under, Synced whether it holds all that it must hold in that.
	Epoch  uint64 `json:"epoch"`
	Synced bool   `json:"synced"`
	// Held is how many reservations it holds for others and itself.
	Held int `json:"held"`
	// Zones has for each zone how many replicas it has, and from which epoch on these know everything.
	Zones map[string]ReservationZoneStatus `json:"zones"`
	reservation.Counters
}

// ReservationZoneStatus is what is known of a zone's replicas.
type ReservationZoneStatus struct {
	Replicas int `json:"replicas"`
	// CompleteSince is the epoch from which on they know every reservation; Forming that there is none yet.
	CompleteSince uint64 `json:"complete_since"`
	Forming       bool   `json:"forming,omitempty"`
}

// ReservationStatus returns what this daemon knows of reservations; nil: it makes none.
func (controller *Controller) ReservationStatus() *ReservationStatus {
	reservations := controller.reservations
	if !reservations.isEnabled {
		return nil
	}
	membership := reservations.coordinator.Membership()
	status := &ReservationStatus{Epoch: membership.Epoch(), Synced: reservations.replica.IsSynced(),
		Held: reservations.replica.Len(), Zones: map[string]ReservationZoneStatus{},
		Counters: reservations.coordinator.Counters()}
	for _, zone := range membership.Zones() {
		zoneStatus := ReservationZoneStatus{Replicas: len(zone.Replicas), CompleteSince: zone.CompleteSince}
		if zone.CompleteSince == reservation.Never {
			zoneStatus.CompleteSince, zoneStatus.Forming = 0, true
		}
		status.Zones[zone.Name] = zoneStatus
	}
	return status
}
