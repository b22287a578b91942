// Package stream reads the server-sent events of one run from the body of a runner's response and enforces the order of
// their ids. It keeps the bytes of each event unchanged, so that complete events can be forwarded as received.
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
	// MaximumEvent is the maximum size of one event and of one line, in bytes.
	MaximumEvent = 1 << 20
	// readerSize is the size of the read buffer, in bytes.
	readerSize = 8 << 10
)

// Rules are the protocol rules for the events of a run, which depend on the kind of runner.
type Rules struct {
	// Sequential requires that ids increase by one, that every event is named "token" or "done", and that a run ends with
	// a "done" event that states the correct number of events. Otherwise ids only have to increase, events without an id
	// are forwarded, and the end of the body ends the run.
	Sequential bool
}

// Reader reads the events of one run. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	rules  Rules
	// lastID is the id of the last event read; before the first event, the id that NewReader was given.
	lastID int
	// finished is set once the run has ended: by a "done" event, or by the end of the body if ids are not sequential.
	finished bool
}

// NewReader returns a reader of the body of a runner's response. The id of the first event must be greater than last.
func NewReader(source io.Reader, rules Rules, last int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readerSize), rules: rules, lastID: last}
}

var blankLine = []byte("\n\n")

// Ready reports whether a complete event is buffered, so that Next does not block.
func (reader *Reader) Ready() bool {
	if reader.finished || reader.source.Buffered() == 0 {
		return false
	}
	// Peeking at buffered bytes can't fail.
	buffered, _ := reader.source.Peek(reader.source.Buffered())
	return bytes.Contains(buffered, blankLine)
}

// Next returns the next event, or io.EOF after a complete run. If an event is out of order, too long or truncated, it
// returns an apierror.RunFailed.
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

// EndsRun reports whether an error returned by Next marks the end of a complete run. The error of a truncated run may
// wrap io.EOF as well, but does not count.
func EndsRun(err error) bool {
	return errors.Is(err, io.EOF) && !apierror.Is(err, apierror.RunFailed)
}

// isUnnumbered reports whether an event is forwarded without an id of its own, for example one that holds only
// comments or fields that this package does not interpret. Bytes after the last blank line are part of the body and are
// forwarded too.
func (reader *Reader) isUnnumbered(event Event) bool {
	return !reader.rules.Sequential && (event.id == nil || !reader.finished && event.empty())
}

// readEvent reads lines up to the blank line that ends an event, or to the end of a body that ends the run.
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

// readLine appends the next line to an event's raw bytes and returns it without its line ending. At the end of a body
// that ends the run, it sets finished, and returns io.EOF if the event has no bytes.
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

// appendLine appends the next line, including its line ending, to raw. At the end of the body it returns io.EOF and
// sets atEOF. An aborted connection never counts as the end of the body, even if its error wraps io.EOF.
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

// checkID parses the id of an event and checks it against the previous id.
func (reader *Reader) checkID(event Event) (Event, error) {
	id, err := strconv.Atoi(string(event.id))
	if err != nil || id <= reader.lastID || reader.rules.Sequential && id != reader.lastID+1 {
		return Event{}, apierror.New(apierror.RunFailed, "event %q follows event %d", event.id, reader.lastID)
	}
	event.ID = id
	if reader.rules.Sequential {
		return reader.checkSequential(event)
	}
	reader.lastID = id
	return event, nil
}

// doneData is the data of the event that ends a run with sequential ids.
type doneData struct {
	// Events is the number of events of the run before this one.
	Events int `json:"events"`
}

// checkSequential checks the name of an event with sequential ids, and the number of events that the last one states.
func (reader *Reader) checkSequential(event Event) (Event, error) {
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

// ExpectEOF reports whether the body ends after the last event, so that its connection can be reused. It blocks until
// the runner ends the body or sends another byte.
func (reader *Reader) ExpectEOF() bool {
	_, err := reader.source.ReadByte()
	return err == io.EOF
}
