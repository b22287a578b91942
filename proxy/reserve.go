package proxy

import (
	"wardtray/apierror"
	"wardtray/config"
	"wardtray/coordination/reservation"
	"wardtray/proxy/dedup"
)

// noteSending notes what the client states of this sending. Unless that is the first, an earlier one may have run until
// the contrary is known; it doesn't matter on a route that may run more than once.
func (exchange *Exchange) noteSending() {
	request, snapshot := exchange.request, exchange.handler.Snapshot()
	if request.SingleUse || exchange.atMostOnce.reservations == nil {
		return
	}
	sending := reservation.Sending{Number: request.Attempt, Term: request.Term}
	if sending.IsFirst() {
		sending.NotBefore = snapshot.TermBefore(exchange.client.ConnectedAt())
	} else {
		route := exchange.routeIn(snapshot.Catalog)
		exchange.execution.unproven = route == nil || !route.Idempotent
	}
	exchange.atMostOnce.sending = sending
}

// acceptOnce records a request that must run at most once. It fails if the request was sent before or may have been, so
// that it can't be run.
func (exchange *Exchange) acceptOnce() error {
	if exchange.request.SingleUse {
		return nil
	}
	key := dedup.KeyOf(exchange.request.Route, exchange.request.ID)
	known, err := exchange.atMostOnce.accept(exchange.now, key, exchange.runsAtMostOnce)
	if err != nil {
		return err
	}
	if known != dedup.NotSeen {
		exchange.execution.earlier = known
		return apierror.New(apierror.DuplicateRequest, "the request with this id %s", known)
	}
	if exchange.atMostOnce.mustProve() {
		exchange.atMostOnce.begin()
		return exchange.awaitReservation()
	}
	return nil
}

// awaitReservation waits for the reservation that was begun, if one was; it returns why the request must not be sent.
func (exchange *Exchange) awaitReservation() error {
	outcome := exchange.atMostOnce.await(exchange.client.ctx)
	err := exchange.atMostOnce.errorOf(outcome)
	if err == nil {
		exchange.execution.unproven = false
		return nil
	}
	if exchange.client.hasLeft() {
		return errClientLeft()
	}
	// Only of a first sending for which there was no room, or nobody answered, is it known that no other runs.
	if outcome == reservation.Taken || outcome == reservation.InDoubt {
		exchange.execution.unproven = true
	}
	return err
}

// runsAtMostOnce reports whether the request belongs to a route that says so.
func (exchange *Exchange) runsAtMostOnce() bool {
	route := exchange.routeIn(exchange.handler.Snapshot().Catalog)
	return route != nil && !route.Idempotent
}

// routeIn returns the request's route in a configuration; nil: it has none there, or there is no configuration.
func (exchange *Exchange) routeIn(catalog *config.Catalog) *config.Route {
	if catalog == nil {
		return nil
	}
	return routeOf(catalog, exchange.request)
}
