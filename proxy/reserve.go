package proxy

import (
	"wardtray/apierror"
	"wardtray/config"
	"wardtray/coordination/reservation"
	"wardtray/proxy/dedup"
)

// recordClientAttempt records what the client states about this attempt. Unless this is the first, an earlier client
// attempt counts as possibly run until the reservation rules it out, except on a route whose requests may run more than
// once.
func (exchange *Exchange) recordClientAttempt() {
	request, snapshot := exchange.request, exchange.handler.Snapshot()
	if request.SingleUse || exchange.atMostOnce.reservations == nil {
		return
	}
	clientAttempt := reservation.ClientAttempt{Number: request.Attempt, Term: request.Term}
	if clientAttempt.IsFirst() {
		clientAttempt.NotBefore = snapshot.TermBefore(exchange.client.ConnectedAt())
	} else {
		route := exchange.routeIn(snapshot.Catalog)
		exchange.execution.earlierInDoubt = route == nil || !route.Idempotent
	}
	exchange.atMostOnce.clientAttempt = clientAttempt
}

// acceptAtMostOnce records an at-most-once request. It fails if the request was sent before, or may have been, so that
// it must not run.
func (exchange *Exchange) acceptAtMostOnce() error {
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
	if exchange.atMostOnce.mustRuleOutEarlier() {
		exchange.atMostOnce.begin()
		return exchange.awaitReservation()
	}
	return nil
}

// awaitReservation waits for the reservation, if one was started. It returns the reason why the request must not be
// sent; nil if it may be.
func (exchange *Exchange) awaitReservation() error {
	outcome := exchange.atMostOnce.await(exchange.client.ctx)
	err := exchange.atMostOnce.errorOf(outcome)
	if err == nil {
		exchange.execution.earlierInDoubt = false
		return nil
	}
	if exchange.client.hasDisconnected() {
		return errClientDisconnected()
	}
	// These outcomes show that another client attempt may have run, even if the client states that this is the first.
	// After any other outcome, a first client attempt is known to be the only one.
	if outcome == reservation.Taken || outcome == reservation.InDoubt {
		exchange.execution.earlierInDoubt = true
	}
	return err
}

// runsAtMostOnce reports whether the request's route is at-most-once.
func (exchange *Exchange) runsAtMostOnce() bool {
	route := exchange.routeIn(exchange.handler.Snapshot().Catalog)
	return route != nil && !route.Idempotent
}

// routeIn returns the request's route in a configuration; nil if the configuration is nil or has no such route.
func (exchange *Exchange) routeIn(catalog *config.Catalog) *config.Route {
	if catalog == nil {
		return nil
	}
	return routeOf(catalog, exchange.request)
}
