// Package stream reads the server-sent events of one run from the body of a runner's response and enforces the order of
// their ids. The bytes of each event are kept unchanged, so that a whole event can be forwarded as it was received.
package stream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"wardtray/apierror"
)

const (
	// MaximumEvent bounds the bytes of one event, and of one line.
	MaximumEvent = 1 << 20
	// readerSize is the size in bytes of the buffer between the connection and the events.
	readerSize = 8 << 10
)

// Rules are the rules that the events of a kind of runner obey.
type Rules struct {
	// Sequential says that ids count up one by one, that every event is named "token" or "done", and that only a "done"
	// event with the right number of events ends a run. Otherwise ids only have to rise, events without an id are
	// forwarded, and the end of the body ends the run.
	Sequential bool
}

// Reader reads the events of one run. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	rules  Rules
	// lastID is the id of the last event that was read.
	lastID int
	// finished is set by the event that ends the run, or by the end of a body that may end it.
	finished bool
}

// NewReader returns a reader of the body of a runner's response; the first event must have an id above last.
func NewReader(source io.Reader, rules Rules, last int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readerSize), rules: rules, lastID: last}
}

var blankLine = []byte("\n\n")

// Ready reports whether a whole event is in the buffer, so that Next will not block.
func (reader *Reader) Ready() bool {
	if reader.finished || reader.source.Buffered() == 0 {
		return false
	}
	// Peeking at what is buffered can't fail.
	buffered, _ := reader.source.Peek(reader.source.Buffered())
	return bytes.Contains(buffered, blankLine)
}

// Next returns the next event, or io.EOF after a complete run. An event that is out of order, too long or cut short is
// an apierror.RunFailed.
func (reader *Reader) Next() (Event, error) {
	if reader.finished {
		if reader.rules.Sequential {
			return Event{}, apierror.New(apierror.RunFailed, "something follows the last event")
		}
		return Event{}, io.EOF
	}
	event, err := reader.readEvent()
	if err != nil {
		return Event{}, err
	}
	if reader.isUnnumbered(event) {
		event.ID = reader.lastID
		return event, nil
	}
	return reader.checkID(event)
}

// EndsRun reports whether an error returned by Next is the end of a complete run. A run that broke off is not one,
// although its error may wrap io.EOF.
func EndsRun(err error) bool {
	return errors.Is(err, io.EOF) && !apierror.Is(err, apierror.RunFailed)
}

// isUnnumbered reports whether an event is forwarded without an id of its own: a comment or a field that only the
// runner knows. What follows the last blank line belongs to the body and is forwarded in its order too.
func (reader *Reader) isUnnumbered(event Event) bool {
	return !reader.rules.Sequential && (event.id == nil || !reader.finished && event.empty())
}

// readEvent reads lines up to the blank one that ends an event, or to the end of a body that may end there.
func (reader *Reader) readEvent() (Event, error) {
	event := Event{}
	for {
		line, err := reader.readLine(&event)
		if err != nil || reader.finished {
			return event, err
		}
		if len(line) > 0 {
			event.parseLine(line)
			continue
		}
		if !reader.rules.Sequential || !event.empty() {
			return event, nil
		}
		event.Raw = nil
	}
}

// readLine appends the next line to an event's raw bytes and returns it without its line ending. Where the end of the
// body is the end of the run, it marks the reader as finished, and returns io.EOF if the event has no bytes.
func (reader *Reader) readLine(event *Event) ([]byte, error) {
	start := len(event.Raw)
	raw, atEOF, err := reader.appendLine(event.Raw)
	event.Raw = raw
	if atEOF && !reader.rules.Sequential {
		reader.finished = true
		if len(event.Raw) == 0 {
			return nil, io.EOF
		}
		return nil, nil
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.RunFailed, "the stream broke off after event %d", reader.lastID)
	}
	if len(event.Raw) > MaximumEvent {
		return nil, apierror.New(apierror.RunFailed, "an event of more than %d bytes", MaximumEvent)
	}
	return bytes.TrimRight(raw[start:], "\r\n"), nil
}

// appendLine appends the next line with its line ending to raw. At the end of the body it returns io.EOF as the error,
// and reports atEOF; a connection that broke off never counts as the end, whatever its error wraps.
func (reader *Reader) appendLine(raw []byte) (line []byte, atEOF bool, err error) {
	for start := len(raw); ; {
		part, err := reader.source.ReadSlice('\n')
		raw = append(raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return raw, err == io.EOF, err
		}
		if len(raw)-start > MaximumEvent {
			return raw, false, apierror.New(apierror.RunFailed, "a line of more than %d bytes", MaximumEvent)
		}
	}
}

// checkID parses the id of an event and enforces the order of ids.
func (reader *Reader) checkID(event Event) (Event, error) {
	id, err := strconv.Atoi(string(event.id))
	if err != nil || id <= reader.lastID || reader.rules.Sequential && id != reader.lastID+1 {
		return Event{}, apierror.New(apierror.RunFailed, "event %q follows event %d", event.id, reader.lastID)
	}
	event.ID = id
	if reader.rules.Sequential {
		return reader.checkCounted(event)
	}
	reader.lastID = id
	return event, nil
}

// doneData is the data of the event that ends a run with sequential ids.
type doneData struct {
	// Events is the number of the run's events before this one.
	Events int `json:"events"`
}

// checkCounted enforces the names of events with sequential ids, and the count in the last one.
func (reader *Reader) checkCounted(event Event) (Event, error) {
	if event.Name != nameToken && event.Name != nameDone {
		return Event{}, apierror.New(apierror.RunFailed, "event %d is a %q", event.ID, event.Name)
	}
	reader.lastID = event.ID
	if !event.Done() {
		return event, nil
	}
	data := doneData{}
	if err := json.Unmarshal(event.Data, &data); err != nil || data.Events != event.ID-1 {
		return Event{}, apierror.New(apierror.RunFailed, "the last event speaks of %d events; %d came",
			data.Events, event.ID-1)
	}
	reader.finished = true
	return event, nil
}

// ExpectEOF reads on behind the last event and reports whether the body ends there, so that its connection can be
// reused. It blocks until the runner ends the body.
func (reader *Reader) ExpectEOF() bool {
	_, err := reader.source.ReadByte()
	return err == io.EOF
}
