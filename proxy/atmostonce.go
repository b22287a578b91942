package proxy

import (
	"context"
	"time"

	"wardtray/apierror"
	"wardtray/coordination/reservation"
	"wardtray/proxy/dedup"
)

// reservationTimeout bounds how long a request waits for its reservation, which is decided before that.
const reservationTimeout = 2 * time.Second

// Reservations reserves requests that run at most once with the fleet's other daemons (package reservation).
type Reservations interface {
	// Reserve begins to reserve a request, and does not wait for the outcome.
	Reserve(key reservation.Key, sending reservation.Sending) *reservation.Reservation
	// Release gives up the reservation, decided or not, of a request that certainly did not and will not run.
	Release(held *reservation.Reservation)
	// Finish ends the reservation of a request that has ended and may have run; it is remembered for a while.
	Finish(held *reservation.Reservation)
}

// atMostOnce keeps a request of a route that runs at most once from running again when its client sends it again, to
// this daemon or to any other. For any other request it does nothing.
type atMostOnce struct {
	table *dedup.Table
	// reservations is nil where no request is reserved.
	reservations Reservations
	// announce tells the zone's other daemons that the request is sent to a runner, or, with dropped, that it certainly
	// did not run. Daemons that make no reservations go by it.
	announce func(key dedup.Key, dropped bool)
	// wait waits for a channel to be closed, for a time, or until a context ends.
	wait func(ctx context.Context, length time.Duration, woken <-chan struct{})
	// key is that of the request once this daemon has accepted it as one that runs at most once, and sending what its
	// client states of this sending.
	key     *dedup.Key
	sending reservation.Sending
	// reserved is the reservation, from when it was begun.
	reserved *reservation.Reservation
	// isSent says that bytes of the request may have reached a runner, and announced that the other daemons were told.
	isSent, announced bool
	// readOnly has accept look a request up without recording it, for a dry run.
	readOnly bool
}

// accept records a request, unless it was sent before: then it returns what is known of it. It is called before
// anything else can be said of the request. applies reports whether the request's route runs at most once; it is not
// called for a request that is known. It fails where no more requests can be remembered.
func (guard *atMostOnce) accept(clock func() time.Time, key dedup.Key, applies func() bool) (dedup.State, error) {
	if known := guard.table.Lookup(key); known != dedup.NotSeen {
		return known, nil
	}
	if guard.readOnly || !applies() {
		return dedup.NotSeen, nil
	}
	known, isNew := guard.table.Begin(clock(), key)
	if isNew {
		guard.key = &key
	}
	if !isNew && known == dedup.NotSeen {
		return dedup.NotSeen, errTooManyRemembered
	}
	return known, nil
}

// errTooManyRemembered is the error of a request for which there is no room, here or at the replicas.
var errTooManyRemembered = apierror.New(apierror.TooManyRemembered,
	"as many requests that run at most once are remembered as can be")

// mustProve reports whether it must be proven, before anything else is said of the request, that no earlier sending of
// it can run: its client has not said that this is the first.
func (guard *atMostOnce) mustProve() bool {
	return guard.key != nil && guard.reservations != nil && !guard.sending.IsFirst()
}

// begin begins to reserve the request, once.
func (guard *atMostOnce) begin() {
	if guard.key != nil && guard.reservations != nil && guard.reserved == nil {
		guard.reserved = guard.reservations.Reserve(*guard.key, guard.sending)
	}
}

// await waits until the reservation that was begun is decided, and returns what became of it. Where nothing is reserved
// it is granted. Pending says that the context has ended, or that it took too long.
func (guard *atMostOnce) await(ctx context.Context) reservation.Outcome {
	if guard.reserved == nil {
		return reservation.Granted
	}
	guard.wait(ctx, reservationTimeout, guard.reserved.Done())
	return guard.reserved.Outcome()
}

// reservationErrors are the errors of requests that did not get their reservation.
var reservationErrors = map[reservation.Outcome]error{
	reservation.Taken: apierror.New(apierror.DuplicateRequest, "the request with this id %s", dedup.TakenElsewhere),
	reservation.InDoubt: apierror.New(apierror.OutcomeUnknown,
		"it was first sent at a time of which this fleet has lost what ran"),
	reservation.Unreachable: apierror.New(apierror.OutcomeUnknown,
		"too few daemons say whether an earlier sending of it runs"),
	reservation.Full: errTooManyRemembered,
}

// errorOf returns the error of a request by what became of its reservation; nil: it may be sent to a runner.
func (guard *atMostOnce) errorOf(outcome reservation.Outcome) error {
	// One that is still pending is given up.
	if outcome == reservation.Pending {
		outcome = reservation.Unreachable
	}
	switch {
	case outcome == reservation.Unreachable && guard.sending.IsFirst():
		return apierror.New(apierror.NotServing, "too few daemons that remember requests answer")
	case outcome == reservation.NotInForce && guard.sending.Number > 1:
		// Not every daemon makes reservations yet, so that one that doesn't may have run it.
		return reservationErrors[reservation.InDoubt]
	default:
		return reservationErrors[outcome]
	}
}

// announceSend notes that the request is about to be sent, and tells the zone that once, where it is not reserved.
func (guard *atMostOnce) announceSend() {
	guard.isSent = true
	if guard.key != nil && !guard.announced && !guard.isGranted() {
		guard.announced = true
		guard.announce(*guard.key, false)
	}
}

// finish records how a request ended that may have run.
func (guard *atMostOnce) finish(now time.Time, state dedup.State) {
	if guard.key == nil {
		return
	}
	guard.table.Finish(now, *guard.key, state)
	if guard.isGranted() {
		guard.reservations.Finish(guard.reserved)
	}
}

// forget lets a request that this daemon certainly did not run be sent again, here and to other daemons.
func (guard *atMostOnce) forget() {
	if guard.key == nil {
		return
	}
	guard.table.Forget(*guard.key)
	if guard.reserved != nil {
		guard.reservations.Release(guard.reserved)
	}
	if guard.announced {
		guard.announce(*guard.key, true)
	}
}

func (guard *atMostOnce) isGranted() bool {
	return guard.reserved != nil && guard.reserved.Outcome() == reservation.Granted
}
