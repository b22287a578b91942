package stream

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// For any body that a runner sends, the reader must not panic. The events hold the bytes of the body in order, their
// ids increase, and the division of the body into chunks makes no difference.
func FuzzReader(fuzz *testing.F) {
	for _, text := range []string{
		"",
		"id: 1\nevent: token\ndata: x\n\n",
		"id: 1\nevent: done\ndata: {\"events\":0}\n\n",
		"id: 2\r\ndata: x\r\n\r\nid: 7\r\n\r\n",
		": a comment\n\n\n\nweight-versions: 3\nid: 4\n\n",
		"id: 9223372036854775807\n\nid: 1\n\n",
		"id: -4\n\nid\n\n",
		"data: half",
		"\r\r\n\n",
		"id: 1\rdata: x\r\r",
		"id:0\n",
		"id: 4\n\nid: 2\ndata: x\n",
	} {
		fuzz.Add([]byte(text), 0, true)
		fuzz.Add([]byte(text), 3, false)
	}
	fuzz.Fuzz(func(t *testing.T, content []byte, last int, sequential bool) {
		rules := Rules{Sequential: sequential}
		unchunked, unchunkedErr := readAll(bytes.NewReader(content), rules, last)
		chunked, chunkedErr := readAll(iotest.OneByteReader(bytes.NewReader(content)), rules, last)
		if !sameEvents(unchunked, chunked) || EndsRun(unchunkedErr) != EndsRun(chunkedErr) {
			t.Fatalf("%q: %v %v read at once, %v %v byte by byte", content, unchunked, unchunkedErr, chunked, chunkedErr)
		}
		checkEvents(t, content, unchunked, rules, last, EndsRun(unchunkedErr))
	})
}

// readAll reads events until the first error and returns both.
func readAll(source io.Reader, rules Rules, last int) ([]Event, error) {
	reader := NewReader(source, rules, last)
	var events []Event
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// checkEvents compares events with the body that they were read from.
func checkEvents(t *testing.T, content []byte, events []Event, rules Rules, last int, finished bool) {
	t.Helper()
	rest := content
	for _, event := range events {
		if event.ID < last || len(event.id) > 0 && event.ID == last {
			t.Fatalf("%q: event %d follows event %d", content, event.ID, last)
		}
		if last = event.ID; rules.Sequential {
			continue
		}
		if !bytes.HasPrefix(rest, event.Raw) {
			t.Fatalf("%q: event %q does not match the body", content, event.Raw)
		}
		rest = rest[len(event.Raw):]
	}
	if finished && !rules.Sequential && len(rest) > 0 {
		t.Fatalf("%q: bytes %q at the end of the body were not returned", content, rest)
	}
}
