package proxy

import (
	"context"
	"time"

	"wardtray/apierror"
	"wardtray/coordination/reservation"
	"wardtray/proxy/dedup"
)

// reservationTimeout bounds the wait of a request for the outcome of its reservation. The timeouts of package
// reservation are shorter, so it normally decides before that.
const reservationTimeout = 2 * time.Second

// Reservations reserves at-most-once requests with the other daemons of the fleet (see package reservation).
type Reservations interface {
	// Reserve starts the reservation of a request and returns without waiting for the outcome.
	Reserve(key reservation.Key, clientAttempt reservation.ClientAttempt) *reservation.Reservation
	// Release releases the reservation, decided or not, of a request that certainly did not run and will not run.
	Release(held *reservation.Reservation)
	// Finish ends the reservation of a request that has ended and may have run. The reservation is kept for a retention
	// period.
	Finish(held *reservation.Reservation)
}

// atMostOnce prevents an at-most-once request from running again when its client retries it, at this daemon or at any
// other. It does nothing for other requests.
type atMostOnce struct {
	table *dedup.Table
	// reservations is nil where no request is reserved.
	reservations Reservations
	// announce notifies the zone's other daemons that the request is being sent to a runner or, if dropped is set, that it
	// certainly did not run. Daemons that make no reservations rely on this notification.
	announce func(key dedup.Key, dropped bool)
	// wait waits until a channel is closed, a duration has passed or a context ends, whichever comes first.
	wait func(ctx context.Context, length time.Duration, woken <-chan struct{})
	// key identifies the request once this daemon has accepted it as an at-most-once request; nil otherwise. clientAttempt
	// holds what the client states about this attempt.
	key           *dedup.Key
	clientAttempt reservation.ClientAttempt
	// reserved is the reservation; nil until it is started.
	reserved *reservation.Reservation
	// isSent reports whether bytes of the request may have reached a runner, announced whether the other daemons were
	// notified of the request.
	isSent, announced bool
	// readOnly makes accept look up a request without recording it; used for dry runs.
	readOnly bool
}

// accept records a request, or returns its recorded state if it was sent before. It runs before any other check that
// can refuse the request. applies reports whether the route is at-most-once; it is not called for a request that is
// already recorded. accept fails if the table has no room for another request.
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
		return dedup.NotSeen, errAtMostOnceLimit
	}
	return known, nil
}

// errAtMostOnceLimit refuses an at-most-once request that can't be recorded, because this daemon's table or the
// replicas of its reservation are full.
var errAtMostOnceLimit = apierror.New(apierror.AtMostOnceLimitReached,
	"as many requests that run at most once are remembered as can be")

// mustRuleOutEarlier reports whether earlier client attempts must be ruled out before the request is processed further
// or refused as not run, since its client has not declared this attempt to be the first.
func (guard *atMostOnce) mustRuleOutEarlier() bool {
	return guard.key != nil && guard.reservations != nil && !guard.clientAttempt.IsFirst()
}

// begin starts the reservation of the request if none was started before.
func (guard *atMostOnce) begin() {
	if guard.key != nil && guard.reservations != nil && guard.reserved == nil {
		guard.reserved = guard.reservations.Reserve(*guard.key, guard.clientAttempt)
	}
}

// await waits until the reservation is decided and returns its outcome. It returns Granted if the request is not
// reserved, and Pending if the context has ended or the timeout has expired.
func (guard *atMostOnce) await(ctx context.Context) reservation.Outcome {
	if guard.reserved == nil {
		return reservation.Granted
	}
	guard.wait(ctx, reservationTimeout, guard.reserved.Done())
	return guard.reserved.Outcome()
}

// reservationErrors holds the errors of requests whose reservation was not granted.
var reservationErrors = map[reservation.Outcome]error{
	reservation.Taken: apierror.New(apierror.DuplicateRequest, "the request with this id %s", dedup.TakenElsewhere),
	reservation.InDoubt: apierror.New(apierror.OutcomeUnknown,
		"it was first sent at a time of which this fleet has lost what ran"),
	reservation.Unreachable: apierror.New(apierror.OutcomeUnknown,
		"too few daemons say whether an earlier sending of it runs"),
	reservation.Full: errAtMostOnceLimit,
}

// errorOf returns the error with which a request is refused after this outcome of its reservation; nil if the request
// may be sent to a runner.
func (guard *atMostOnce) errorOf(outcome reservation.Outcome) error {
	// A reservation that is still pending has timed out.
	if outcome == reservation.Pending {
		outcome = reservation.Unreachable
	}
	switch {
	case outcome == reservation.Unreachable && guard.clientAttempt.IsFirst():
		return apierror.New(apierror.NotServing, "too few daemons that remember requests answer")
	case outcome == reservation.NotInForce && guard.clientAttempt.Number > 1:
		// Some daemons don't make reservations yet, and one of them may have run the request.
		return reservationErrors[reservation.InDoubt]
	default:
		return reservationErrors[outcome]
	}
}

// announceSend records that the request is about to be sent. It notifies the zone, once, if the request has no granted
// reservation.
func (guard *atMostOnce) announceSend() {
	guard.isSent = true
	if guard.key != nil && !guard.announced && !guard.isGranted() {
		guard.announced = true
		guard.announce(*guard.key, false)
	}
}

// finish records the end of a request that may have run.
func (guard *atMostOnce) finish(now time.Time, state dedup.State) {
	if guard.key == nil {
		return
	}
	guard.table.Finish(now, *guard.key, state)
	if guard.isGranted() {
		guard.reservations.Finish(guard.reserved)
	}
}

// forget allows a request that this daemon certainly did not run to be sent again, to this daemon and to others.
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
