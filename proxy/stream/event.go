package stream

import (
	"bytes"
	"strconv"
)

// nameToken and nameDone are the event names of a run whose ids are sequential: one token each, and the run's own end.
const (
	nameToken = "token"
	nameDone  = "done"
)

var (
	space = []byte(" ")
	colon = []byte(":")
)

// Event is one server-sent event.
type Event struct {
	// ID is the number of the event; an event that names none has the ID of the event before it.
	ID int
	// Name is the value of the "event" field, empty where there is none.
	Name string
	// Data is the value of the last "data" field, nil where there is none.
	Data []byte
	// Raw holds the event's bytes as they were received, with the blank line that ends it. It stays valid after the
	// next event has been read.
	Raw []byte
	// id is the value of the "id" field as it was received, nil where there is none.
	id []byte
}

// Done reports whether this is the event with which a runner ends its run.
func (event Event) Done() bool { return event.Name == nameDone }

// Bytes returns the encoding of an event made from ID, Name and Data.
func (event Event) Bytes() []byte {
	content := append([]byte("id: "), strconv.Itoa(event.ID)...)
	content = append(append(content, "\nevent: "...), event.Name...)
	return append(append(append(content, "\ndata: "...), event.Data...), "\n\n"...)
}

// fieldSetters store the value of a line by the name of its field; lines of other names are kept in Raw only.
var fieldSetters = map[string]func(event *Event, value []byte){
	"id":    func(event *Event, value []byte) { event.id = value },
	"event": func(event *Event, value []byte) { event.Name = string(value) },
	"data":  func(event *Event, value []byte) { event.Data = value },
}

// parseLine stores the field that a line without its line ending sets. The value of a line without a colon is empty.
func (event *Event) parseLine(line []byte) {
	name, value, found := bytes.Cut(line, colon)
	if !found {
		value = []byte{}
	}
	if set := fieldSetters[string(name)]; set != nil {
		set(event, bytes.TrimPrefix(value, space))
	}
}

// empty reports whether no line has set a field of the event.
func (event *Event) empty() bool {
	return len(event.id) == 0 && event.Name == "" && event.Data == nil
}
