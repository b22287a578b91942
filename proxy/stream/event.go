package stream

import (
	"bytes"
	"strconv"
)

// nameToken and nameDone are the event names of a run with sequential ids: nameToken for an event with one token,
// nameDone for the last event of a complete run.
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
	// ID is the id of the event; an event without an "id" field has the ID of the event before it.
	ID int
	// Name is the value of the "event" field; empty if there is none.
	Name string
	// Data is the value of the last "data" field; nil if there is none.
	Data []byte
	// Raw holds the event's bytes as received, including the blank line that ends it. It stays valid after the next
	// event has been read.
	Raw []byte
	// id is the value of the "id" field as received; nil if there is none.
	id []byte
}

// Done reports whether this is the event that ends a complete run with sequential ids.
func (event Event) Done() bool { return event.Name == nameDone }

// Bytes encodes ID, Name and Data as a server-sent event. It ignores Raw.
func (event Event) Bytes() []byte {
	content := append([]byte("id: "), strconv.Itoa(event.ID)...)
	content = append(append(content, "\nevent: "...), event.Name...)
	return append(append(append(content, "\ndata: "...), event.Data...), "\n\n"...)
}

// fieldSetters maps the name of a field to the function that stores its value. Other fields are kept in Raw only.
var fieldSetters = map[string]func(event *Event, value []byte){
	"id":    func(event *Event, value []byte) { event.id = value },
	"event": func(event *Event, value []byte) { event.Name = string(value) },
	"data":  func(event *Event, value []byte) { event.Data = value },
}

// parseLine parses a line without its line ending and stores its field. A line without a colon has an empty value.
func (event *Event) parseLine(line []byte) {
	name, value, found := bytes.Cut(line, colon)
	if !found {
		value = []byte{}
	}
	if set := fieldSetters[string(name)]; set != nil {
		set(event, bytes.TrimPrefix(value, space))
	}
}

// empty reports whether the event has no id, no name and no data.
func (event *Event) empty() bool {
	return len(event.id) == 0 && event.Name == "" && event.Data == nil
}
