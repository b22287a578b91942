package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wardtray/apierror"
)

// chunkReader returns its content in chunks of random lengths of at most maximum bytes, some of them empty.
type chunkReader struct {
	rest    []byte
	random  *rand.Rand
	maximum int
}

func (chunks *chunkReader) Read(into []byte) (int, error) {
	if len(chunks.rest) == 0 {
		return 0, io.EOF
	}
	length := min(chunks.random.Intn(chunks.maximum+1), len(chunks.rest), len(into))
	copy(into, chunks.rest[:length])
	chunks.rest = chunks.rest[length:]
	// A source may return io.EOF together with its last bytes.
	if len(chunks.rest) == 0 && chunks.random.Intn(2) == 0 {
		return length, io.EOF
	}
	return length, nil
}

// readRun reads a run to its end and returns its events and its final error, nil after a "done" event.
func readRun(source io.Reader, rules Rules, last int) ([]Event, error) {
	reader := NewReader(source, rules, last)
	var events []Event
	for {
		// Calling Ready must not change what Next returns.
		ready := reader.Ready()
		event, err := reader.Next()
		if ready && err != nil && apierror.Of(err).Code != apierror.RunFailed {
			return events, fmt.Errorf("Ready reported an event, but Next returned: %w", err)
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
		if event.Done() && rules.Sequential {
			return events, nil
		}
	}
}

// sameEvents reports whether two runs have equal events; it ignores the unparsed id fields.
func sameEvents(left, right []Event) bool {
	return slices.EqualFunc(left, right, func(one, other Event) bool {
		return one.ID == other.ID && one.Name == other.Name &&
			bytes.Equal(one.Data, other.Data) && bytes.Equal(one.Raw, other.Raw)
	})
}

// validLines returns the random lines of a valid event.
func validLines(random *rand.Rand, sequential bool, id int) []string {
	lines := []string{fmt.Sprint("id: ", id), "data: " + strings.Repeat("x", random.Intn(40))}
	if sequential || random.Intn(2) == 0 {
		lines = append(lines, "event: token")
	}
	if random.Intn(20) == 0 {
		lines = append(lines, "data: "+strings.Repeat("long ", 4000))
	}
	if !sequential && random.Intn(5) == 0 {
		lines = append(lines, ": a comment", "weight-versions: 3")
	}
	return lines
}

// corruptLines applies a random corruption to the lines of an event.
func corruptLines(random *rand.Rand, id int, lines []string) []string {
	corruptions := []func() []string{
		func() []string { return nil },
		func() []string { return lines[1:] },
		func() []string { return []string{": nothing"} },
		func() []string { return append([]string{fmt.Sprint("id: ", id-random.Intn(4))}, lines[1:]...) },
		func() []string {
			first := []string{"id: x", "id:", "id", "id: -1", "id: 99999999999999999999"}[random.Intn(5)]
			return append([]string{first}, lines[1:]...)
		},
		func() []string { return append(lines, "event: other") },
		func() []string { return append(lines, "\x00\xff") },
	}
	return corruptions[random.Intn(len(corruptions))]()
}

// drawRun returns the text of a random run with increasing ids. Unless valid, some events are corrupt and the text may
// be truncated.
func drawRun(random *rand.Rand, sequential, valid bool) string {
	text, id := &strings.Builder{}, 0
	ending := []string{"\n", "\r\n"}[random.Intn(2)]
	count := random.Intn(12)
	for range count {
		id++
		if !sequential {
			id += random.Intn(3)
		}
		lines := validLines(random, sequential, id)
		if !valid && random.Intn(4) == 0 {
			lines = corruptLines(random, id, lines)
		}
		text.WriteString(strings.Join(lines, ending))
		text.WriteString(ending + ending)
	}
	if sequential {
		fmt.Fprintf(text, "id: %d%sevent: done%sdata: {\"events\":%d}%s%s", id+1, ending, ending, id, ending, ending)
	}
	content := text.String()
	if !valid && random.Intn(3) == 0 {
		content = content[:random.Intn(len(content)+1)]
	}
	return content
}

func properties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 2000
	return gopter.NewProperties(parameters)
}

// The network may split a run into chunks at any byte. The events must not depend on the chunks, and no byte may be
// lost.
func TestNextDoesNotDependOnChunks(t *testing.T) {
	properties := properties()
	for _, sequential := range []bool{false, true} {
		rules := Rules{Sequential: sequential}
		properties.Property(
			fmt.Sprint("the same events, sequential ", sequential),
			prop.ForAll(func(seed int64, maximum int) bool {
				random := rand.New(rand.NewSource(seed))
				text := drawRun(random, sequential, random.Intn(2) == 0)
				unchunked, unchunkedErr := readRun(strings.NewReader(text), rules, 0)
				chunked, chunkedErr := readRun(&chunkReader{rest: []byte(text), random: random, maximum: maximum}, rules, 0)
				return sameEvents(unchunked, chunked) && fmt.Sprint(unchunkedErr) == fmt.Sprint(chunkedErr)
			}, gen.Int64(), gen.IntRange(1, 3000)),
		)
		properties.Property(
			fmt.Sprint("no byte lost or added, sequential ", sequential),
			prop.ForAll(func(seed int64, maximum int) bool {
				random := rand.New(rand.NewSource(seed))
				text := drawRun(random, sequential, random.Intn(2) == 0)
				events, err := readRun(&chunkReader{rest: []byte(text), random: random, maximum: maximum}, rules, 0)
				var forwarded strings.Builder
				rest := text
				for _, event := range events {
					forwarded.Write(event.Raw)
					// Between sequential events blank lines and comments are omitted, but no byte of an event itself.
					_, after, found := strings.Cut(rest, string(event.Raw))
					if !found {
						return false
					}
					rest = after
				}
				if sequential {
					return true
				}
				return strings.HasPrefix(text, forwarded.String()) &&
					(!EndsRun(err) || forwarded.String() == text)
			}, gen.Int64(), gen.IntRange(1, 3000)),
		)
		properties.Property(
			fmt.Sprint("valid runs are complete, sequential ", sequential),
			prop.ForAll(func(seed int64, maximum int) bool {
				random := rand.New(rand.NewSource(seed))
				text := drawRun(random, sequential, true)
				_, err := readRun(&chunkReader{rest: []byte(text), random: random, maximum: maximum}, rules, 0)
				return errors.Is(err, map[bool]error{true: nil, false: io.EOF}[sequential])
			}, gen.Int64(), gen.IntRange(1, 3000)),
		)
	}
	properties.TestingRun(t)
}

// A runner may send events in any order. The reader must return only increasing ids above the one where the run begins,
// and with sequential ids no gaps and a correct final count: otherwise a client gets events twice or misses some.
func TestNextEnforcesOrder(t *testing.T) {
	properties := properties()
	for _, sequential := range []bool{false, true} {
		properties.Property(fmt.Sprint("ids rise, sequential ", sequential), prop.ForAll(func(seed int64, after int) bool {
			random := rand.New(rand.NewSource(seed))
			text := drawRun(random, sequential, false)
			source := &chunkReader{rest: []byte(text), random: random, maximum: 64}
			events, err := readRun(source, Rules{Sequential: sequential}, after)
			last := after
			for _, event := range events {
				if event.ID < last || sequential && event.ID != last+1 {
					return false
				}
				// An event without an id has the id of the event before it.
				raw := strings.ReplaceAll(string(event.Raw), "\r", "")
				if event.ID == last && strings.Contains("\n"+raw, "\nid:") && strings.HasSuffix(raw, "\n\n") {
					return false
				}
				last = event.ID
			}
			return !sequential || err != nil || len(events) > 0 && events[len(events)-1].Done()
		}, gen.Int64(), gen.IntRange(0, 5)))
	}
	properties.TestingRun(t)
}

// A line or event of more than MaximumEvent bytes must fail the run: the reader would buffer an endless one completely.
func TestNextBoundsEvents(t *testing.T) {
	for name, text := range map[string]string{
		"one line":   "data: " + strings.Repeat("x", MaximumEvent),
		"many lines": strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaximumEvent/1000),
	} {
		for _, sequential := range []bool{false, true} {
			events, err := readRun(strings.NewReader(text+"\n\n"), Rules{Sequential: sequential}, 0)
			if len(events) > 0 || !apierror.Is(err, apierror.RunFailed) {
				t.Errorf("%s, sequential %v: %d events, %v", name, sequential, len(events), err)
			}
		}
	}
}

// An aborted connection must not be taken for the end of a complete run.
func TestNextDistinguishesBreakFromEnd(t *testing.T) {
	for _, text := range []string{"", "id: 1\n", "id: 1\ndata: x\n\n", "id: 1\ndata: x\n\nid: 2\nda"} {
		for _, sequential := range []bool{false, true} {
			source := io.MultiReader(strings.NewReader(text), brokenReader{})
			_, err := readRun(source, Rules{Sequential: sequential}, 0)
			if !apierror.Is(err, apierror.RunFailed) || EndsRun(err) {
				t.Errorf("%q, sequential %v: %v", text, sequential, err)
			}
		}
	}
}

// brokenReader fails on every read.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// The error of a run that is truncated by the end of its connection wraps io.EOF and must not mark the run as complete.
func TestEndsRun(t *testing.T) {
	_, truncated := readRun(strings.NewReader("id: 1\nevent: token\n"), Rules{Sequential: true}, 0)
	if !errors.Is(truncated, io.EOF) || EndsRun(truncated) || EndsRun(nil) || !EndsRun(io.EOF) {
		t.Errorf("truncated run: %v, EndsRun %v", truncated, EndsRun(truncated))
	}
}

// A connection may be reused only if its body ends after the last event: further bytes would be read as the next
// response.
func TestExpectEOF(t *testing.T) {
	end := "id: 1\nevent: done\ndata: {\"events\":0}\n\n"
	for text, want := range map[string]bool{end: true, end + "x": false} {
		reader := NewReader(strings.NewReader(text), Rules{Sequential: true}, 0)
		if _, err := reader.Next(); err != nil || reader.ExpectEOF() != want {
			t.Errorf("%q: error %v, or ExpectEOF is not %v", text, err, want)
		}
	}
}
