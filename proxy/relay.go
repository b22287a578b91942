package proxy

import (
	"errors"
	"io"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/stream"
)

// chunkSize is how many bytes of what was received already are forwarded together.
const chunkSize = 16 << 10

// errCutOff ends a response that is not complete.
var errCutOff = errors.New("the run broke off")

// relay is the body of a response: complete events, each forwarded as it comes, of one run or, where the route may be
// resumed, out of several that follow one another. It implements io.ReadCloser for the client's connection.
type relay struct {
	exchange *Exchange
	pace     paceMeter
	pending  []byte
	// ending is what follows when pending is read: nil while the run goes on; conclude then finishes the request, once.
	ending    error
	conclude  func()
	concluded bool
}

// Read returns at least one whole event, and whatever else was received already.
func (relay *relay) Read(into []byte) (int, error) {
	// A run that is resumed elsewhere has given nothing yet.
	for len(relay.pending) == 0 && relay.ending == nil {
		relay.fetch()
	}
	if len(relay.pending) == 0 {
		relay.finish()
		return 0, relay.ending
	}
	count := copy(into, relay.pending)
	relay.pending = relay.pending[count:]
	return count, nil
}

// Close is called when the response was read to its end, or its client has left.
func (relay *relay) Close() error {
	if relay.ending == nil {
		relay.continueWithoutClient()
	}
	relay.finish()
	return nil
}

// continueWithoutClient ends a run whose client has left, or lets it go on to its end where that is worth knowing.
func (relay *relay) continueWithoutClient() {
	exchange := relay.exchange
	exchange.client.leave()
	if exchange.route.CancelsOnDisconnect() {
		relay.conclude = func() { exchange.finish(endClientGone, false) }
		return
	}
	for relay.ending == nil {
		relay.fetch()
	}
}

func (relay *relay) finish() {
	if !relay.concluded {
		relay.concluded = true
		relay.conclude()
	}
}

// fetch takes the next event, and those that were received with it.
func (relay *relay) fetch() {
	exchange := relay.exchange
	relay.pending = relay.pending[:0]
	for {
		event, err := relay.next()
		if err != nil {
			relay.handleStop(err)
			return
		}
		relay.forward(event)
		if event.Done() && exchange.handler.Codec.Rules().Sequential {
			relay.complete()
			return
		}
		if len(relay.pending) >= chunkSize || !exchange.attempt.reader.Ready() {
			return
		}
	}
}

// next returns the next event of the run, beginning with the one that came with the response.
func (relay *relay) next() (stream.Event, error) {
	attempt := relay.exchange.attempt
	if first := attempt.first; first.Raw != nil {
		attempt.first.Raw = nil
		return first, nil
	}
	attempt.setTimeout(relay.exchange.waits().nextEvent())
	return attempt.reader.Next()
}

// forward appends an event to what the client is to get.
func (relay *relay) forward(event stream.Event) {
	exchange := relay.exchange
	relay.pending = append(relay.pending, event.Raw...)
	exchange.lastEventID = event.ID
	if added, took := relay.pace.event(exchange.now()); added > 0 {
		exchange.scheduler.TokensReceived(added*max(1, exchange.backend.Engine.EventTokens), took)
	}
	exchange.relayedBytes += len(event.Raw)
}

// complete ends a run that came to its own end.
func (relay *relay) complete() {
	relay.ending, relay.conclude = io.EOF, func() { relay.exchange.finish(endDone, true) }
}

// handleStop decides what follows a run that gives no more events: its regular end, another run or an error.
func (relay *relay) handleStop(err error) {
	exchange := relay.exchange
	if stream.EndsRun(err) {
		relay.complete()
		return
	}
	if exchange.client.hasLeft() {
		relay.conclude, relay.ending = func() { exchange.finish(endClientGone, false) }, errCutOff
		return
	}
	exchange.attempt.reportFailure(reasonBrokenStream)
	next := exchange.decideRetry(scheduler.Broken)
	refusal := &codec.Refusal{Code: next.ErrorCode, Detail: apierror.Of(err).Detail, Ran: next.Execution}
	relay.conclude = func() { exchange.finish(string(apierror.RunFailed), false) }
	if next.Retry && exchange.mayTry() && !exchange.isPastDeadline() {
		refusal = relay.resume()
		if refusal == nil {
			return
		}
		relay.conclude = func() { exchange.finishWithoutRunner(refusal.Code) }
	}
	relay.ending = errCutOff
	// A codec that can say that the stream is not complete ends it in order.
	if message := exchange.handler.Codec.ErrorEvent(exchange.lastEventID, *refusal); len(message) > 0 {
		relay.pending, relay.ending = append(relay.pending, message...), io.EOF
	}
}

// resume continues the run at another runner after the last whole event that was relayed; otherwise it returns why not.
func (relay *relay) resume() *codec.Refusal {
	exchange := relay.exchange
	exchange.attempt.release()
	// The first event came long ago; the rest is scheduled anew, with the latency target and the time that are left.
	excluded := exchange.queuedRequest.Requirements.ExcludedRunners
	exchange.enterScheduler()
	excluded[exchange.attempt.decision.Runner.ID] = true
	exchange.queuedRequest.Requirements.ExcludedRunners = excluded
	exchange.queuedRequest.Requirements.Deadline = exchange.remaining()
	refusal := exchange.findRunner(scheduler.Broken)
	if refusal == nil {
		exchange.recordFirstEvent()
		exchange.count(func(route *metrics.RouteMetrics) { route.Resumed++ })
	}
	return refusal
}
