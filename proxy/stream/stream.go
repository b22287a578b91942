// Package stream reads a runner's server-sent events one by one and holds them to their order. What is
// read is kept byte for byte, so that a whole event can be passed on unchanged.
package stream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"wardtray/apierror"
)

const (
	// MaximumEvent bounds one event.
	MaximumEvent = 1 << 20
	readerSize   = 8 << 10
)

// Rules are what a kind of runner keeps to.
type Rules struct {
	// Counted says that ids count up from 1 one by one, that every event has a name, and that only a done
	// event with the right count ends a run. Otherwise ids only rise, and the end of the body ends it.
	Counted bool
}

// Event is one event as it came.
type Event struct {
	ID   int
	Name string
	Data []byte
	// Raw are the event's own bytes, with the blank line that ends it.
	Raw []byte
	// id is the id as it came; nil: none.
	id []byte
}

// Done tells whether this is a run's own last event.
func (event Event) Done() bool { return event.Name == "done" }

// Bytes gives a new event as it is sent.
func (event Event) Bytes() []byte {
	content := append([]byte("id: "), strconv.Itoa(event.ID)...)
	content = append(append(content, "\nevent: "...), event.Name...)
	return append(append(append(content, "\ndata: "...), event.Data...), "\n\n"...)
}

// Reader reads the events of one run.
type Reader struct {
	source   *bufio.Reader
	rules    Rules
	last     int
	finished bool
}

// NewReader reads from the body of a runner's answer; last is the id after which it begins.
func NewReader(source io.Reader, rules Rules, last int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readerSize), rules: rules, last: last}
}

type closing struct {
	Events int `json:"events"`
}

var (
	blank     = []byte(" ")
	colon     = []byte(":")
	blankLine = []byte("\n\n")
)

// Ready tells whether a whole event is here already, so that taking it makes nobody wait.
func (reader *Reader) Ready() bool {
	if reader.finished || reader.source.Buffered() == 0 {
		return false
	}
	held, _ := reader.source.Peek(reader.source.Buffered())
	return bytes.Contains(held, blankLine)
}

// fields takes in what a line of an event says, by its name.
var fields = map[string]func(event *Event, value []byte){
	"id":    func(event *Event, value []byte) { event.id = value },
	"event": func(event *Event, value []byte) { event.Name = string(value) },
	"data":  func(event *Event, value []byte) { event.Data = value },
}

// Next gives the next event, or io.EOF after a run that ended whole. Anything out of order, too long or cut
// short is a RunFailed fault.
func (reader *Reader) Next() (Event, error) {
	if reader.finished {
		if reader.rules.Counted {
			return Event{}, apierror.New(apierror.RunFailed, "something follows the last event")
		}
		return Event{}, io.EOF
	}
	event, err := reader.read()
	if err != nil {
		return Event{}, err
	}
	// A comment, or a line of the runner's own, is passed on and counts for nothing. What follows the last blank line
	// belongs to the body and is passed on with it, in its order.
	if !reader.rules.Counted && (event.id == nil || !reader.finished && event.empty()) {
		event.ID = reader.last
		return event, nil
	}
	return reader.numbered(event)
}

// read takes lines up to the blank one that ends an event, or to the end of a body that may end so.
func (reader *Reader) read() (Event, error) {
	event := Event{}
	for {
		line, err := reader.takeLine(&event)
		if err != nil || reader.finished {
			return event, err
		}
		if len(line) > 0 {
			event.add(line)
			continue
		}
		if !reader.rules.Counted || !event.empty() {
			return event, nil
		}
		event.Raw = nil
	}
}

// takeLine adds the next line to an event's own bytes and gives it without its end. Where the end of the body is the end
// of the run, it marks the reader as ended, and gives io.EOF if the event has no bytes.
func (reader *Reader) takeLine(event *Event) ([]byte, error) {
	started := len(event.Raw)
	raw, err := reader.line(event.Raw)
	event.Raw = raw
	if err == io.EOF && !reader.rules.Counted {
		reader.finished = true
		if len(event.Raw) == 0 {
			return nil, io.EOF
		}
		return nil, nil
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.RunFailed, "the stream broke off after event %d", reader.last)
	}
	if len(event.Raw) > MaximumEvent {
		return nil, apierror.New(apierror.RunFailed, "an event of more than %d bytes", MaximumEvent)
	}
	return bytes.TrimRight(raw[started:], "\r\n"), nil
}

// add takes in one line of an event.
func (event *Event) add(line []byte) {
	name, value, told := bytes.Cut(line, colon)
	if !told {
		value = []byte{}
	}
	if take := fields[string(name)]; take != nil {
		take(event, bytes.TrimPrefix(value, blank))
	}
}

// empty tells whether no line of an event has said anything.
func (event *Event) empty() bool {
	return len(event.id) == 0 && event.Name == "" && event.Data == nil
}

// numbered holds an event to the order of ids.
func (reader *Reader) numbered(event Event) (Event, error) {
	number, err := strconv.Atoi(string(event.id))
	if err != nil || number <= reader.last || reader.rules.Counted && number != reader.last+1 {
		return Event{}, apierror.New(apierror.RunFailed, "event %q follows event %d", event.id, reader.last)
	}
	event.ID = number
	if reader.rules.Counted {
		return reader.counted(event)
	}
	reader.last = number
	return event, nil
}

// counted holds an event to the rules of runs that count their events.
func (reader *Reader) counted(event Event) (Event, error) {
	if event.Name != "token" && event.Name != "done" {
		return Event{}, apierror.New(apierror.RunFailed, "event %d is a %q", event.ID, event.Name)
	}
	reader.last = event.ID
	if event.Done() {
		said := closing{}
		if err := json.Unmarshal(event.Data, &said); err != nil || said.Events != event.ID-1 {
			return Event{}, apierror.New(apierror.RunFailed, "the last event speaks of %d events; %d came", said.Events, event.ID-1)
		}
		reader.finished = true
	}
	return event, nil
}

// End reads on to the end of the body, so that the connection can be used again.
func (reader *Reader) End() bool {
	_, err := reader.source.ReadByte()
	return err == io.EOF
}

// line puts the next line with its end behind what was read before.
func (reader *Reader) line(raw []byte) ([]byte, error) {
	for started := len(raw); ; {
		part, err := reader.source.ReadSlice('\n')
		raw = append(raw, part...)
		if err != bufio.ErrBufferFull {
			return raw, err
		}
		if len(raw)-started > MaximumEvent {
			return raw, apierror.New(apierror.RunFailed, "a line of more than %d bytes", MaximumEvent)
		}
	}
}
