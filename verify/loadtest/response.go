package loadtest

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"wardtray/verify/histories"
)

// EventParser parses the lines of an event stream as a client does: from the bytes received alone.
type EventParser struct {
	// Record receives the events, set by the caller.
	Record *histories.ClientAttempt
	// event is the incomplete event. A field that an event omits keeps the value of the previous event.
	event event
}

// event is an event of a stream.
type event struct {
	name string
	id   int
	// run identifies the run that the event belongs to.
	run string
}

// Names of the events that end a stream.
const (
	eventDone  = "done"
	eventError = "error"
)

// ParseLine parses one line without its line end, received at now. An empty line ends an event.
func (parser *EventParser) ParseLine(now time.Time, line string) {
	if line == "" {
		parser.endEvent(now)
		return
	}
	field, value, _ := strings.Cut(line, ": ")
	switch field {
	case "id":
		parser.event.id, _ = strconv.Atoi(value)
	case "event":
		parser.event.name = value
	case "data":
		data := struct{ Run, Kind string }{}
		if json.Unmarshal([]byte(value), &data) == nil {
			parser.event.run, parser.Record.Kind = data.Run, data.Kind
		}
	}
}

// endEvent records the event, which is complete.
func (parser *EventParser) endEvent(now time.Time) {
	record := parser.Record
	record.Last = now
	if record.First == 0 {
		record.First = now.Sub(record.Sent)
	}
	if parser.event.name == eventError {
		record.Error = true
		return
	}
	record.IDs, record.Runs = append(record.IDs, parser.event.id), append(record.Runs, parser.event.run)
	record.Done = parser.event.name == eventDone
}

// kindUnreadable is the recorded kind of a refusal that doesn't have the documented form.
const kindUnreadable = "unreadable"

// ParseRejection records the body of a refusal.
func ParseRejection(record *histories.ClientAttempt, body []byte) {
	refusal := struct{ Kind, Detail, Ran string }{}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Kind == "" {
		record.Kind = kindUnreadable
		return
	}
	record.Kind, record.Detail, record.Ran = refusal.Kind, refusal.Detail, refusal.Ran
}
