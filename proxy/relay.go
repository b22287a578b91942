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

// relay is the body of an answer: whole events, each passed on as it comes, out of one run or, where the lane
// may be resumed, out of several that go on behind one another.
type relay struct {
	course  *Course
	pending []byte
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

// Close is called when the answer is through, or its requester gone.
func (relay *relay) Close() error {
	if relay.ending == nil {
		relay.leftBehind()
	}
	relay.end()
	return nil
}

// leftBehind ends a run whose requester has gone, or has it go on to its end where that is worth knowing.
func (relay *relay) leftBehind() {
	course := relay.course
	course.leave()
	if course.lane.Cancels() {
		relay.conclude = func() { course.finish(endGone, false) }
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
	course := relay.course
	relay.pending = relay.pending[:0]
	for event := course.first; ; course.first.Raw = nil {
		if event = course.first; event.Raw == nil {
			_ = course.connection.SetDeadline(course.now().Add(course.pauseBound()))
			next, err := course.reader.Next()
			if err != nil {
				relay.stopped(err)
				return
			}
			event = next
		}
		relay.pending = append(relay.pending, event.Raw...)
		course.after = event.ID
		course.pace()
		course.across += len(event.Raw)
		if event.Done() && course.yard.Speech.Rules().Counted {
			relay.whole()
			return
		}
		if len(relay.pending) >= pieceSize || !course.reader.Ready() {
			course.first.Raw = nil
			return
		}
	}
}

// whole ends a run that gave its own end.
func (relay *relay) whole() {
	relay.ending, relay.conclude = io.EOF, func() { relay.course.finish(endDone, true) }
}

// stopped looks what may follow a run that gives no more events.
func (relay *relay) stopped(err error) {
	course := relay.course
	if err == io.EOF {
		relay.whole()
		return
	}
	if course.left() {
		relay.conclude, relay.ending = func() { course.finish(endGone, false) }, errBrokenOff
		return
	}
	course.blame("broke off a stream")
	verdict := course.following(scheduler.Broken)
	refusal := &codec.Refusal{Kind: verdict.Otherwise, Detail: apierror.Of(err).Detail, Ran: verdict.Ran}
	relay.conclude = func() { course.finish(string(apierror.RunFailed), false) }
	if verdict.Again && course.mayTry() && !course.over() {
		refusal = course.resume()
		if refusal == nil {
			return
		}
		relay.conclude = func() { course.abandon(refusal.Kind) }
	}
	relay.ending = errBrokenOff
	// A speech that tells in its own words that the stream is not whole ends it in order.
	if told := course.yard.Speech.Broken(course.after, *refusal); len(told) > 0 {
		relay.pending, relay.ending = append(relay.pending, told...), io.EOF
	}
}

// resume has the run go on at another runner behind the last whole event that was relayed; otherwise it tells why not.
func (course *Course) resume() *codec.Refusal {
	course.drop()
	// The first event came long ago; the rest is bid for anew, with the patience and the time that are left.
	shut := course.ticket.Bid.Shut
	course.draw()
	shut[course.step.Runner.ID] = true
	course.ticket.Bid.Shut, course.ticket.Bid.Deadline = shut, course.remaining()
	refusal := course.obtain(scheduler.Broken)
	if refusal == nil {
		course.firstSeen()
		course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) { lane.Resumed++ })
	}
	return refusal
}

// abandon ends a course that was relayed in part and holds no runner any more.
func (course *Course) abandon(kind apierror.Kind) {
	course.to(ended)
	course.settle(dedup.Unknown)
	course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) { lane.Ends[string(kind)]++ })
	course.close()
}

// pacedEvents is after how many events the pace of an answer is taken in.
const pacedEvents = 4

// pace counts an event that is relayed, and takes in how long the last few took.
func (course *Course) pace() {
	course.events++
	if course.pacedAt.IsZero() {
		course.paced, course.pacedAt = course.events, course.now()
		return
	}
	if fresh := course.events - course.paced; fresh >= pacedEvents {
		now := course.now()
		course.desk.Paced(fresh*course.eventTokens(), now.Sub(course.pacedAt))
		course.paced, course.pacedAt = course.events, now
	}
}

// eventTokens is how many tokens an event stands for.
func (course *Course) eventTokens() int { return max(1, course.pool.Engine.EventTokens) }

// relay passes the run on, beginning with the event that showed that it runs.
func (course *Course) relay() {
	course.firstSeen()
	if course.yard.Draining.Load() {
		course.requester.Last()
	}
	status, headers := course.yard.Speech.Head(course.response, course.request, course.run())
	if course.reader == nil {
		course.requester.Answer(status, headers, course.body)
		course.finish(endDone, true)
		return
	}
	course.relayed = true
	course.requester.Stream(status, headers, &relay{course: course})
}

func (course *Course) firstSeen() {
	if course.connection != nil {
		course.connection.Answered()
	}
	took, runner := course.now().Sub(course.sentAt), course.step.Runner
	// A failure of the runner's own is passed on, and is no reason to send it more at once.
	if course.word.Said != codec.Failed {
		course.yard.Book.Served(runner.ID)
	}
	course.desk.First(course.ticket, course.step, took)
	course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) {
		lane.First(course.now().Sub(course.begun))
		lane.HeldTokens += uint64(course.step.HeldTokens)
		lane.PromptTokens += uint64(course.request.PromptTokens)
		if runner.Zone != course.yard.Zone {
			lane.OtherZone++
			lane.BytesAcross += uint64(len(course.request.Body))
		}
	})
}

// outcomes is what is remembered of a request that was relayed, by whether its run went to its end.
var outcomes = map[bool]dedup.State{true: dedup.Ran, false: dedup.Unknown}

// finish ends a course that was relayed.
func (course *Course) finish(end string, ran bool) {
	course.to(ended)
	if whole := ran; whole {
		if course.reader != nil && course.yard.Speech.Rules().Counted {
			_ = course.connection.SetDeadline(course.now().Add(tailBound))
			whole = course.reader.End()
		}
		if whole && !course.word.Closes {
			course.yard.Links.Keep(course.connection, course.word.Keep)
			course.connection = nil
		}
		course.desk.Learn(0, 0, course.now().Sub(course.sentAt))
	}
	course.settle(outcomes[ran])
	course.drop()
	course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) {
		lane.Ends[end]++
		if end == endDone {
			lane.Done++
		}
		if course.step.Runner.Zone != course.yard.Zone {
			lane.BytesAcross += uint64(course.across)
		}
	})
	course.close()
}
