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

// chunkSize is the size, in bytes, at which a chunk is complete: further events that were already received go into the
// next chunk.
const chunkSize = 16 << 10

// errIncompleteResponse ends the body of an incomplete response.
var errIncompleteResponse = errors.New("the response is incomplete")

// relay is the body of a streamed response: complete events, each forwarded as it arrives, from one run or, on a
// resumable route, from several runs in sequence. It implements io.ReadCloser for the client's connection.
type relay struct {
	exchange *Exchange
	pace     paceMeter
	pending  []byte
	// endError is the error that Read returns once pending is empty; nil while the run continues. finishRequest
	// finishes the request and is called once; finished reports whether it was called.
	endError      error
	finishRequest func()
	finished      bool
}

// Read returns at least one complete event, together with further events that were already received.
func (relay *relay) Read(into []byte) (int, error) {
	// A run that was just resumed at another runner may not have delivered an event yet.
	for len(relay.pending) == 0 && relay.endError == nil {
		relay.fetch()
	}
	if len(relay.pending) == 0 {
		relay.finish()
		return 0, relay.endError
	}
	count := copy(into, relay.pending)
	relay.pending = relay.pending[count:]
	return count, nil
}

// Close is called when the response was read to its end or the client has disconnected.
func (relay *relay) Close() error {
	if relay.endError == nil {
		relay.continueWithoutClient()
	}
	relay.finish()
	return nil
}

// continueWithoutClient handles a client that has disconnected: it ends the run, or reads it to its end if the outcome
// has to be known.
func (relay *relay) continueWithoutClient() {
	exchange := relay.exchange
	exchange.client.cancel()
	if exchange.route.CancelsOnDisconnect() {
		relay.finishRequest = func() { exchange.finish(endClientDisconnected, false) }
		return
	}
	for relay.endError == nil {
		relay.fetch()
	}
}

func (relay *relay) finish() {
	if !relay.finished {
		relay.finished = true
		relay.finishRequest()
	}
}

// fetch reads the next event and further events that were already received.
func (relay *relay) fetch() {
	exchange := relay.exchange
	relay.pending = relay.pending[:0]
	for {
		event, err := relay.next()
		if err != nil {
			relay.handleStreamEnd(err)
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

// next returns the next event of the run, beginning with the one that was read together with the head of the response.
func (relay *relay) next() (stream.Event, error) {
	attempt := relay.exchange.attempt
	if first := attempt.firstEvent; first.Raw != nil {
		attempt.firstEvent.Raw = nil
		return first, nil
	}
	limits := relay.exchange.waitLimits()
	attempt.await(limits, limits.nextEvent())
	event, err := attempt.reader.Next()
	if !relay.exchange.settleHedge(err == nil || stream.EndsRun(err)) {
		return event, err
	}
	relay.recordResumption()
	return relay.next()
}

// recordResumption records that another runner has taken up the run.
func (relay *relay) recordResumption() {
	relay.exchange.recordFirstEvent()
	relay.exchange.count(func(route *metrics.RouteMetrics) { route.Resumed++ })
}

// forward appends an event to the bytes that are pending for the client.
func (relay *relay) forward(event stream.Event) {
	exchange := relay.exchange
	relay.pending = append(relay.pending, event.Raw...)
	exchange.lastEventID = event.ID
	if added, took := relay.pace.event(exchange.now()); added > 0 {
		exchange.scheduler.TokensReceived(added*max(1, exchange.backend.Engine.EventTokens), took)
	}
	exchange.relayedBytes += len(event.Raw)
}

// complete ends a run that completed.
func (relay *relay) complete() {
	relay.endError, relay.finishRequest = io.EOF, func() { relay.exchange.finish(endDone, true) }
}

// handleStreamEnd decides how to proceed when a run delivers no more events: it ends regularly, is resumed at another
// runner, or ends with an error.
func (relay *relay) handleStreamEnd(err error) {
	exchange := relay.exchange
	if stream.EndsRun(err) {
		relay.complete()
		return
	}
	if exchange.client.hasDisconnected() {
		relay.finishRequest, relay.endError = func() { exchange.finish(endClientDisconnected, false) }, errIncompleteResponse
		return
	}
	exchange.attempt.reportFailure(reasonBrokenStream)
	next := exchange.decideRetry(scheduler.Broken)
	refusal := &codec.Refusal{Code: next.ErrorCode, Detail: apierror.Of(err).Detail, Ran: next.Execution}
	relay.finishRequest = func() { exchange.finish(string(apierror.RunFailed), false) }
	if next.Retry && exchange.mayAttempt() && !exchange.isPastDeadline() {
		refusal = relay.resume()
		if refusal == nil {
			return
		}
		relay.finishRequest = func() { exchange.finishWithoutRunner(refusal.Code) }
	}
	relay.endError = errIncompleteResponse
	// If the codec has an error event, the incomplete stream ends with it, followed by a regular end of the body.
	if message := exchange.handler.Codec.ErrorEvent(exchange.lastEventID, *refusal); len(message) > 0 {
		relay.pending, relay.endError = append(relay.pending, message...), io.EOF
	}
}

// resume continues a run that has ended early at another runner, after the last complete event that was relayed. If
// that is not possible it returns the refusal.
func (relay *relay) resume() *codec.Refusal {
	exchange := relay.exchange
	exchange.attempt.release()
	exchange.enterSchedulerAgain()
	refusal := exchange.findRunner(scheduler.Broken)
	if refusal == nil {
		relay.recordResumption()
	}
	return refusal
}
