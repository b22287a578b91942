package proxy

import (
	"errors"
	"io"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

// pieceSize is how much of what is there already is passed on in one piece.
const pieceSize = 16 << 10

// errBrokenOff ends an answer that is not whole.
var errBrokenOff = errors.New("the run broke off")

// relay is the body of an answer: whole events, each passed on as it comes, out of one run or, where the route
// may be resumed, out of several that go on behind one another.
type relay struct {
	exchange *Exchange
	pending  []byte
	// ending is what follows when pending is through: nil while the run goes on; conclude then ends the course, once.
	ending    error
	conclude  func()
	concluded bool
}

// Read gives at least one whole event, and whatever else is there already.
func (relay *relay) Read(into []byte) (int, error) {
	// A run that goes on elsewhere has given nothing yet.
	for len(relay.pending) == 0 && relay.ending == nil {
		relay.fetch()
	}
	if len(relay.pending) == 0 {
		relay.end()
		return 0, relay.ending
	}
	count := copy(into, relay.pending)
	relay.pending = relay.pending[count:]
	return count, nil
}

// Close is called when the answer is through, or its client gone.
func (relay *relay) Close() error {
	if relay.ending == nil {
		relay.leftBehind()
	}
	relay.end()
	return nil
}

// leftBehind ends a run whose client has gone, or has it go on to its end where that is worth knowing.
func (relay *relay) leftBehind() {
	exchange := relay.exchange
	exchange.leave()
	if exchange.route.Cancels() {
		relay.conclude = func() { exchange.finish(endGone, false) }
		return
	}
	for relay.ending == nil {
		relay.fetch()
	}
}

func (relay *relay) end() {
	if !relay.concluded {
		relay.concluded = true
		relay.conclude()
	}
}

// fetch takes the next event, and those that wait behind it.
func (relay *relay) fetch() {
	exchange := relay.exchange
	relay.pending = relay.pending[:0]
	for event := exchange.first; ; exchange.first.Raw = nil {
		if event = exchange.first; event.Raw == nil {
			_ = exchange.connection.SetDeadline(exchange.now().Add(exchange.pauseBound()))
			next, err := exchange.reader.Next()
			if err != nil {
				relay.stopped(err)
				return
			}
			event = next
		}
		relay.pending = append(relay.pending, event.Raw...)
		exchange.after = event.ID
		exchange.pace()
		exchange.across += len(event.Raw)
		if event.Done() && exchange.handler.Codec.Rules().Counted {
			relay.whole()
			return
		}
		if len(relay.pending) >= pieceSize || !exchange.reader.Ready() {
			exchange.first.Raw = nil
			return
		}
	}
}

// whole ends a run that gave its own end.
func (relay *relay) whole() {
	relay.ending, relay.conclude = io.EOF, func() { relay.exchange.finish(endDone, true) }
}

// stopped looks what may follow a run that gives no more events.
func (relay *relay) stopped(err error) {
	exchange := relay.exchange
	if err == io.EOF {
		relay.whole()
		return
	}
	if exchange.left() {
		relay.conclude, relay.ending = func() { exchange.finish(endGone, false) }, errBrokenOff
		return
	}
	exchange.blame("broke off a stream")
	verdict := exchange.following(scheduler.Broken)
	refusal := &codec.Refusal{Kind: verdict.Otherwise, Detail: apierror.Of(err).Detail, Ran: verdict.Ran}
	relay.conclude = func() { exchange.finish(string(apierror.RunFailed), false) }
	if verdict.Retry && exchange.mayTry() && !exchange.over() {
		refusal = exchange.resume()
		if refusal == nil {
			return
		}
		relay.conclude = func() { exchange.abandon(refusal.Kind) }
	}
	relay.ending = errBrokenOff
	// A speech that tells in its own words that the stream is not whole ends it in order.
	if told := exchange.handler.Codec.Broken(exchange.after, *refusal); len(told) > 0 {
		relay.pending, relay.ending = append(relay.pending, told...), io.EOF
	}
}

// resume has the run go on at another runner behind the last whole event that was relayed; otherwise it tells why not.
func (exchange *Exchange) resume() *codec.Refusal {
	exchange.drop()
	// The first event came long ago; the rest is bid for anew, with the latency target and the time that are left.
	shut := exchange.queuedRequest.Requirements.Shut
	exchange.draw()
	shut[exchange.step.Runner.ID] = true
	exchange.queuedRequest.Requirements.Shut, exchange.queuedRequest.Requirements.Deadline = shut, exchange.remaining()
	refusal := exchange.obtain(scheduler.Broken)
	if refusal == nil {
		exchange.firstSeen()
		exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) { route.Resumed++ })
	}
	return refusal
}

// abandon ends a course that was relayed in part and holds no runner any more.
func (exchange *Exchange) abandon(kind apierror.Code) {
	exchange.to(finished)
	exchange.settle(dedup.Unknown)
	exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) { route.Ends[string(kind)]++ })
	exchange.close()
}

// pacedEvents is after how many events the pace of an answer is taken in.
const pacedEvents = 4

// pace counts an event that is relayed, and takes in how long the last few took.
func (exchange *Exchange) pace() {
	exchange.events++
	if exchange.pacedAt.IsZero() {
		exchange.paced, exchange.pacedAt = exchange.events, exchange.now()
		return
	}
	if fresh := exchange.events - exchange.paced; fresh >= pacedEvents {
		now := exchange.now()
		exchange.scheduler.Paced(fresh*exchange.eventTokens(), now.Sub(exchange.pacedAt))
		exchange.paced, exchange.pacedAt = exchange.events, now
	}
}

// eventTokens is how many tokens an event stands for.
func (exchange *Exchange) eventTokens() int { return max(1, exchange.backend.Engine.EventTokens) }

// relay passes the run on, beginning with the event that showed that it runs.
func (exchange *Exchange) relay() {
	exchange.firstSeen()
	if exchange.handler.Draining.Load() {
		exchange.client.Last()
	}
	status, headers := exchange.handler.Codec.Head(exchange.response, exchange.request, exchange.run())
	if exchange.reader == nil {
		exchange.client.Answer(status, headers, exchange.body)
		exchange.finish(endDone, true)
		return
	}
	exchange.relayed = true
	exchange.client.Stream(status, headers, &relay{exchange: exchange})
}

func (exchange *Exchange) firstSeen() {
	if exchange.connection != nil {
		exchange.connection.Answered()
	}
	took, runner := exchange.now().Sub(exchange.sentAt), exchange.step.Runner
	// A failure of the runner's own is passed on, and is no reason to send it more at once.
	if exchange.word.Disposition != codec.Failed {
		exchange.handler.Loads.Served(runner.ID)
	}
	exchange.scheduler.First(exchange.queuedRequest, exchange.step, took)
	exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) {
		route.First(exchange.now().Sub(exchange.started))
		route.HeldTokens += uint64(exchange.step.HeldTokens)
		route.PromptTokens += uint64(exchange.request.PromptTokens)
		if runner.Zone != exchange.handler.Zone {
			route.OtherZone++
			route.BytesAcross += uint64(len(exchange.request.Body))
		}
	})
}

// outcomes is what is remembered of a request that was relayed, by whether its run went to its end.
var outcomes = map[bool]dedup.State{true: dedup.Ran, false: dedup.Unknown}

// finish ends a course that was relayed.
func (exchange *Exchange) finish(end string, ran bool) {
	exchange.to(finished)
	if whole := ran; whole {
		if exchange.reader != nil && exchange.handler.Codec.Rules().Counted {
			_ = exchange.connection.SetDeadline(exchange.now().Add(tailBound))
			whole = exchange.reader.ExpectEOF()
		}
		if whole && !exchange.word.Closes {
			exchange.handler.Connections.Keep(exchange.connection, exchange.word.Keep)
			exchange.connection = nil
		}
		exchange.scheduler.Learn(0, 0, exchange.now().Sub(exchange.sentAt))
	}
	exchange.settle(outcomes[ran])
	exchange.drop()
	exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) {
		route.Ends[end]++
		if end == endDone {
			route.Done++
		}
		if exchange.step.Runner.Zone != exchange.handler.Zone {
			route.BytesAcross += uint64(exchange.across)
		}
	})
	exchange.close()
}
