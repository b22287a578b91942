package emulator

import (
	"bufio"
	"fmt"
	"time"

	"wardtray/verify/histories"
)

const (
	// minimumEvents and maximumEvents bound the number of events of a stream before its last. Above the minimum, there
	// is an event for every eventTokens tokens of the answer.
	minimumEvents = 2
	maximumEvents = 12
	eventTokens   = 24
)

// eventCount returns the number of events before the last one of an answer.
func eventCount(answerTokens int) int {
	return min(maximumEvents, minimumEvents+answerTokens/eventTokens)
}

// stream writes the answer of a run.
type stream struct {
	runner *Runner
	run    *histories.Run
	// name identifies the run in the events.
	name   string
	prompt prompt
	// partial aborts the stream after half of its events.
	partial bool
	// disconnected is closed when the run's connection ends.
	disconnected <-chan struct{}
	writer       *bufio.Writer
}

// write executes the request and writes its events, until the runner stops or the connection ends.
func (stream *stream) write() {
	engine := stream.runner.engine
	if !engine.acquireSlot(stream.disconnected) {
		return
	}
	defer engine.releaseSlot()
	if !engine.readPrompt(stream.prompt, stream.disconnected) || !stream.writeTokens() {
		return
	}
	events := eventCount(stream.prompt.answerTokens)
	// The run counts as complete before its last event is sent, so that no client receives that event earlier.
	stream.runner.history.Change(func(*histories.History) { stream.run.Complete, stream.run.Events = true, events })
	// If the client has disconnected, the run is complete nevertheless.
	_ = stream.send(events+1, "done", fmt.Sprintf(`{"run":%q,"events":%d}`, stream.name, events))
}

// writeTokens writes all events except the last, with a pause after each, and reports whether it completed this.
func (stream *stream) writeTokens() bool {
	engine, events := stream.runner.engine, eventCount(stream.prompt.answerTokens)
	pause := time.Duration(stream.prompt.answerTokens) * engine.profile.AnswerTime / time.Duration(events)
	for number := 1; number <= events; number++ {
		if stream.partial && number > events/2 {
			// Without an abrupt end of the connection, the server would end the stream as a complete response.
			stream.runner.connections.close()
			return false
		}
		data := fmt.Sprintf(`{"run":%q,"text":"rhan %d"}`, stream.name, number)
		if stream.send(number, "token", data) != nil || !engine.work(pause, stream.disconnected) {
			return false
		}
	}
	return true
}

// send writes and flushes an event.
func (stream *stream) send(id int, event, data string) error {
	if _, err := fmt.Fprintf(stream.writer, "id: %d\nevent: %s\ndata: %s\n\n", id, event, data); err != nil {
		return err
	}
	return stream.writer.Flush()
}
