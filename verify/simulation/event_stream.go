package simulation

import (
	"fmt"
	"io"
	"time"

	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

const (
	// A run of an answer's length in tokens has minimumEvents and one for each tokensPerEvent, at most maximumEvents.
	minimumEvents  = 2
	maximumEvents  = 12
	tokensPerEvent = 24
	// garbledEvent is the number of the event that a garbling runner tells wrongly.
	garbledEvent = 3
	// streamHead has the name of the header with the request's id, and that id.
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
		"Transfer-Encoding: chunked\r\n%s: %s\r\n\r\n"
	streamEnd = "0\r\n\r\n"
)

// eventStream is the answer of one run, from behind the event that its client has already.
type eventStream struct {
	engine     *engine
	connection *conn
	run        *histories.Run
	// events is how many tokens it tells, gap the time between two.
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

// send tells the events one after the other; it reports whether the connection can be used again.
func (stream *eventStream) send() bool {
	if _, err := fmt.Fprintf(stream.connection, streamHead, admission.HeaderRequest, stream.run.Request); err != nil {
		return false
	}
	for number := stream.run.After + 1; number <= stream.events; number++ {
		if !stream.sendToken(number) || !stream.engine.work(stream.connection, stream.gap) {
			return false
		}
	}
	// The run is complete from the moment its last event may have left.
	stream.run.Complete, stream.run.Events = true, stream.events
	if !stream.chunk("id: %d\nevent: done\ndata: {\"run\":%q,\"events\":%d}\n\n", stream.events+1, stream.run.Name,
		stream.events) {
		return false
	}
	_, err := io.WriteString(stream.connection, streamEnd)
	return err == nil
}

// sendToken tells one event; it reports whether the stream goes on.
func (stream *eventStream) sendToken(number int) bool {
	name := stream.run.Name
	if stream.engine.partial && number > stream.events/2 {
		return false
	}
	if garble := stream.engine.garble; garble != "" && number == garbledEvent {
		stream.chunk(garbledEvents[garble], name)
		return false
	}
	return stream.chunk("id: %d\nevent: token\ndata: {\"run\":%q,\"text\":\"rhan %d\"}\n\n", number, name, number)
}

// chunk writes one chunk of the body; it reports whether the connection took it.
func (stream *eventStream) chunk(format string, values ...any) bool {
	text := fmt.Sprintf(format, values...)
	_, err := fmt.Fprintf(stream.connection, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}
