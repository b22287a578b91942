package simulation

import (
	"fmt"
	"io"
	"time"

	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

const (
	// An answer has minimumEvents and one more for each tokensPerEvent of its length, at most maximumEvents.
	minimumEvents  = 2
	maximumEvents  = 12
	tokensPerEvent = 24
	// corruptedEventNumber is the number of the event that a runner with a corruption sends corrupted.
	corruptedEventNumber = 3
	// streamHead is a format of the name and the value of the header with the request's id.
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
		"Transfer-Encoding: chunked\r\n%s: %s\r\n\r\n"
	streamEnd = "0\r\n\r\n"
)

// eventStream is the answer of one run, after the last event that its client already has.
type eventStream struct {
	engine     *engine
	connection *conn
	run        *histories.Run
	// events is the number of token events, gap the time between two of them.
	events int
	gap    time.Duration
}

func newEventStream(engine *engine, connection *conn, run *histories.Run, tokens int) *eventStream {
	events := min(maximumEvents, minimumEvents+tokens/tokensPerEvent)
	return &eventStream{
		engine:     engine,
		connection: connection,
		run:        run,
		events:     events,
		gap:        engine.slowed(time.Duration(tokens)*engine.profile.AnswerTime) / time.Duration(events),
	}
}

// send sends the events in order, and reports whether the connection can be reused.
func (stream *eventStream) send() bool {
	if _, err := fmt.Fprintf(stream.connection, streamHead, admission.HeaderRequest, stream.run.Request); err != nil {
		return false
	}
	for number := stream.run.After + 1; number <= stream.events; number++ {
		if !stream.sendToken(number) || !stream.engine.work(stream.connection, stream.gap) {
			return false
		}
	}
	// The run counts as complete from the moment when its last event may have been sent.
	stream.run.Complete, stream.run.Events = true, stream.events
	if !stream.chunk("id: %d\nevent: done\ndata: {\"run\":%q,\"events\":%d}\n\n", stream.events+1, stream.run.Name,
		stream.events) {
		return false
	}
	_, err := io.WriteString(stream.connection, streamEnd)
	return err == nil
}

// sendToken sends one event, and reports whether the stream continues.
func (stream *eventStream) sendToken(number int) bool {
	name := stream.run.Name
	if stream.engine.partial && number > stream.events/2 {
		return false
	}
	if corruption := stream.engine.corruption; corruption != "" && number == corruptedEventNumber {
		stream.chunk(corruptedEvents[corruption], name)
		return false
	}
	return stream.chunk("id: %d\nevent: token\ndata: {\"run\":%q,\"text\":\"rhan %d\"}\n\n", number, name, number)
}

// chunk writes one chunk of the body, and reports whether the connection accepted it.
func (stream *eventStream) chunk(format string, values ...any) bool {
	text := fmt.Sprintf(format, values...)
	_, err := fmt.Fprintf(stream.connection, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}
