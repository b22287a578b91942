package emulator

import (
	"bufio"
	"fmt"
	"time"

	"wardtray/verify/histories"
)

const (
	// fewestEvents and mostEvents bound the events of a stream before its last; one comes for every eventTokens tokens
	// of the answer.
	fewestEvents = 2
	mostEvents   = 12
	eventTokens  = 24
)

// eventCount returns how many events come before the last one of an answer.
func eventCount(answerTokens int) int { return min(mostEvents, fewestEvents+answerTokens/eventTokens) }

// stream is the answer of one run, as it goes out.
type stream struct {
	runner *Runner
	run    *histories.Run
	// name is what the events call the run.
	name   string
	prompt prompt
	// partial breaks the stream off in the middle.
	partial bool
	// disconnected is closed when the connection of the run ends.
	disconnected <-chan struct{}
	writer       *bufio.Writer
}

// write runs the request and writes its events, as long as the runner and the connection last.
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
	// The run is complete from the moment its last event may have left.
	stream.runner.history.Change(func(*histories.History) { stream.run.Complete, stream.run.Events = true, events })
	// A client that leaves at the very end changes nothing about the run.
	_ = stream.send(events+1, "done", fmt.Sprintf(`{"run":%q,"events":%d}`, stream.name, events))
}

// writeTokens writes all events but the last; it reports whether all went out and their time passed.
func (stream *stream) writeTokens() bool {
	engine, events := stream.runner.engine, eventCount(stream.prompt.answerTokens)
	pause := time.Duration(stream.prompt.answerTokens) * engine.profile.AnswerTime / time.Duration(events)
	for number := 1; number <= events; number++ {
		if stream.partial && number > events/2 {
			// Only an abrupt end of the connection leaves a stream that is not complete.
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

// send writes one event out.
func (stream *stream) send(id int, event, data string) error {
	if _, err := fmt.Fprintf(stream.writer, "id: %d\nevent: %s\ndata: %s\n\n", id, event, data); err != nil {
		return err
	}
	return stream.writer.Flush()
}
