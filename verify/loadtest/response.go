package loadtest

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"wardtray/verify/histories"
)

// EventParser reads a stream's lines as a client does, believing nothing but what it reads.
type EventParser struct {
	// Record gets what was read.
	Record *histories.Answer
	// event is the event under way. A field that an event leaves out keeps the value of the event before.
	event event
}

// event is what an event says: its name, its id and the run that it belongs to.
type event struct {
	name string
	id   int
	run  string
}

// Names of the events that end a stream.
const (
	eventDone  = "done"
	eventError = "error"
)

// ParseLine takes one line without its end; now is when it came. An empty line ends an event.
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

// endEvent records the event under way.
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

// kindUnreadable is recorded for a refusal that is not as documented.
const kindUnreadable = "unreadable"

// ParseRejection takes a refusal's body.
func ParseRejection(record *histories.Answer, body []byte) {
	refusal := struct{ Kind, Detail, Ran string }{}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Kind == "" {
		record.Kind = kindUnreadable
		return
	}
	record.Kind, record.Detail, record.Ran = refusal.Kind, refusal.Detail, refusal.Ran
}
