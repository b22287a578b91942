package proxy

import (
	"context"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

// How a course that was relayed ended.
const (
	endDone = "done"
	endGone = string(apierror.ClientGone)
)

// begin makes the course of a request that has been read whole, and watches the client's connection from then on.
//
// Why one context for all waits: whatever the course waits for, the client's leaving ends it at once.
func (handler *Handler) begin(client netio.Client) *Exchange {
	ctx, leave := context.WithCancel(context.Background())
	exchange := &Exchange{handler: handler, client: client, state: reading, started: handler.Environment.Now(), ctx: ctx, leave: leave}
	handler.InFlight.Add(1)
	exchange.unwatch = client.Watch(leave)
	return exchange
}

// close lets go of the client's connection, on which the next request may come now.
func (exchange *Exchange) close() {
	exchange.unwatch()
	exchange.leave()
	exchange.handler.InFlight.Add(-1)
}

// left tells whether the client is known to have left.
func (exchange *Exchange) left() bool { return exchange.ctx.Err() != nil }

// errLeft is the fault of a request that nobody waits for.
func errLeft() error {
	return apierror.New(apierror.ClientGone, "the requester has closed its connection")
}

// awaited looks at the client's connection itself, directly before bytes go out.
//
// Why not the watch alone: after a freeze, or where a request was read behind its client's close, the course may be
// here before the watch has been told.
func (exchange *Exchange) awaited() bool {
	if !exchange.left() && exchange.client.Left() {
		exchange.leave()
	}
	return !exchange.left()
}

// enter puts the request into its scheduler's queue and waits for the step; it tells whether there is one. A request whose
// client leaves gives up its place.
func (exchange *Exchange) enter() bool {
	exchange.scheduler.Schedule(exchange.now(), exchange.queuedRequest)
	step, decided := exchange.handler.Await(exchange.ctx, exchange.queuedRequest.Decisions)
	if !decided {
		if exchange.scheduler.Cancel(exchange.queuedRequest) {
			return false
		}
		// The scheduler was quicker, and the places that it gave have to be given back.
		step = <-exchange.queuedRequest.Decisions
	}
	exchange.step = step
	return true
}

// returnUnused puts back a connection over which nothing was sent.
func (exchange *Exchange) returnUnused() {
	exchange.handler.Connections.Keep(exchange.connection, 0)
	exchange.connection = nil
}

// bind has the run end with the client, unless it must run at most once and its outcome is worth knowing.
func (exchange *Exchange) bind() {
	if exchange.route.Cancels() {
		exchange.connection.Bind(exchange.ctx)
	}
}

// cutOff tells whether the client's leaving has ended a write in the middle. The runner may have begun on what it
// got, and over a connection that is closed it can't say so.
func (exchange *Exchange) cutOff(written int) bool {
	return written > 0 && exchange.left() && exchange.route.Cancels()
}

// blame has the runner left alone for a while, unless it was cut off because nobody waited for it any more.
func (exchange *Exchange) blame(reason string) {
	if !exchange.left() {
		exchange.handler.Loads.Failed(exchange.now(), exchange.step.Runner.ID, reason)
	}
}
