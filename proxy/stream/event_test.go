package stream

import "testing"

func TestEventBytesAreReadBack(t *testing.T) {
	sent := Event{ID: 5, Name: "error", Data: []byte(`{"kind":"run_failed"}`)}
	parsed := Event{}
	for _, line := range []string{"id: 5", "event: error", `data: {"kind":"run_failed"}`} {
		parsed.parseLine([]byte(line))
	}
	if string(sent.Bytes()) != "id: 5\nevent: error\ndata: {\"kind\":\"run_failed\"}\n\n" {
		t.Errorf("the event is encoded as %q", sent.Bytes())
	}
	if string(parsed.id) != "5" || parsed.Name != sent.Name || string(parsed.Data) != string(sent.Data) ||
		parsed.Done() {
		t.Errorf("the encoded event is parsed as %+v", parsed)
	}
}

func TestParseLine(t *testing.T) {
	for line, want := range map[string]Event{
		"id":         {id: []byte{}},
		"id:":        {id: []byte{}},
		"id:7":       {id: []byte("7")},
		"data:  x":   {Data: []byte(" x")},
		"event:done": {Name: nameDone},
		": comment":  {},
		"retry: 5":   {},
	} {
		event := Event{}
		event.parseLine([]byte(line))
		if !sameEvents([]Event{event}, []Event{want}) || string(event.id) != string(want.id) ||
			(event.id == nil) != (want.id == nil) || event.Done() != (line == "event:done") {
			t.Errorf("%q: parsed as %+v, want %+v", line, event, want)
		}
	}
}
