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

// chunkReader returns a text in chunks of seeded lengths, now and then an empty one.
type chunkReader struct {
	rest   []byte
	random *rand.Rand
	most   int
}

func (chunks *chunkReader) Read(into []byte) (int, error) {
	if len(chunks.rest) == 0 {
		return 0, io.EOF
	}
	length := min(chunks.random.Intn(chunks.most+1), len(chunks.rest), len(into))
	copy(into, chunks.rest[:length])
	chunks.rest = chunks.rest[length:]
	// A source may report its end together with its last bytes.
	if len(chunks.rest) == 0 && chunks.random.Intn(2) == 0 {
		return length, io.EOF
	}
	return length, nil
}

// readRun reads a run to its end and returns its events and how it ended.
func readRun(source io.Reader, rules Rules, last int) ([]Event, error) {
	reader := NewReader(source, rules, last)
	var events []Event
	for {
		// What Ready reports must not change what follows.
		ready := reader.Ready()
		event, err := reader.Next()
		if ready && err != nil && apierror.Of(err).Code != apierror.RunFailed {
			return events, fmt.Errorf("an event was ready, and then: %w", err)
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

// sameEvents reports whether two runs have the same events.
func sameEvents(left, right []Event) bool {
	return slices.EqualFunc(left, right, func(one, other Event) bool {
		return one.ID == other.ID && one.Name == other.Name &&
			bytes.Equal(one.Data, other.Data) && bytes.Equal(one.Raw, other.Raw)
	})
}

// validLines draws the lines of a valid event.
func validLines(random *rand.Rand, counted bool, id int) []string {
	lines := []string{fmt.Sprint("id: ", id), "data: " + strings.Repeat("x", random.Intn(40))}
	if counted || random.Intn(2) == 0 {
		lines = append(lines, "event: token")
	}
	if random.Intn(20) == 0 {
		lines = append(lines, "data: "+strings.Repeat("long ", 4000))
	}
	if !counted && random.Intn(5) == 0 {
		lines = append(lines, ": a comment", "weight-versions: 3")
	}
	return lines
}

// corruptLines draws what may be wrong with an event's lines.
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

// drawRun draws the text of a run: mostly valid events with rising ids, and now and then whatever else may come.
func drawRun(random *rand.Rand, counted, valid bool) string {
	text, id := &strings.Builder{}, 0
	ending := []string{"\n", "\r\n"}[random.Intn(2)]
	count := random.Intn(12)
	for range count {
		id++
		if !counted {
			id += random.Intn(3)
		}
		lines := validLines(random, counted, id)
		if !valid && random.Intn(4) == 0 {
			lines = corruptLines(random, id, lines)
		}
		text.WriteString(strings.Join(lines, ending))
		text.WriteString(ending + ending)
	}
	if counted {
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

// However a run is cut into pieces on its way, its events are the same, and no byte of it is lost.
func TestNextDoesNotDependOnChunks(t *testing.T) {
	properties := properties()
	for _, counted := range []bool{false, true} {
		rules := Rules{Sequential: counted}
		properties.Property(
			fmt.Sprint("the same events, counted ", counted),
			prop.ForAll(func(seed int64, most int) bool {
				random := rand.New(rand.NewSource(seed))
				text := drawRun(random, counted, random.Intn(2) == 0)
				whole, wholeEnd := readRun(strings.NewReader(text), rules, 0)
				chunked, chunkedEnd := readRun(&chunkReader{rest: []byte(text), random: random, most: most}, rules, 0)
				return sameEvents(whole, chunked) && fmt.Sprint(wholeEnd) == fmt.Sprint(chunkedEnd)
			}, gen.Int64(), gen.IntRange(1, 3000)),
		)
		properties.Property(
			fmt.Sprint("no byte lost or made up, counted ", counted),
			prop.ForAll(func(seed int64, most int) bool {
				random := rand.New(rand.NewSource(seed))
				text := drawRun(random, counted, random.Intn(2) == 0)
				events, end := readRun(&chunkReader{rest: []byte(text), random: random, most: most}, rules, 0)
				var forwarded strings.Builder
				rest := text
				for _, event := range events {
					forwarded.Write(event.Raw)
					// Between counted events blank lines and comments are left out, but nothing of an event itself.
					_, behind, found := strings.Cut(rest, string(event.Raw))
					if !found {
						return false
					}
					rest = behind
				}
				if counted {
					return true
				}
				return strings.HasPrefix(text, forwarded.String()) &&
					(!EndsRun(end) || forwarded.String() == text)
			}, gen.Int64(), gen.IntRange(1, 3000)),
		)
		properties.Property(
			fmt.Sprint("proper runs are whole, counted ", counted),
			prop.ForAll(func(seed int64, most int) bool {
				random := rand.New(rand.NewSource(seed))
				text := drawRun(random, counted, true)
				_, end := readRun(&chunkReader{rest: []byte(text), random: random, most: most}, rules, 0)
				return errors.Is(end, map[bool]error{true: nil, false: io.EOF}[counted])
			}, gen.Int64(), gen.IntRange(1, 3000)),
		)
	}
	properties.TestingRun(t)
}

// Whatever is received, ids only rise after the one where the run begins, and counted ones skip none and end with the
// right count.
func TestNextEnforcesOrder(t *testing.T) {
	properties := properties()
	for _, counted := range []bool{false, true} {
		properties.Property(fmt.Sprint("ids rise, counted ", counted), prop.ForAll(func(seed int64, begins int) bool {
			random := rand.New(rand.NewSource(seed))
			text := drawRun(random, counted, false)
			source := &chunkReader{rest: []byte(text), random: random, most: 64}
			events, end := readRun(source, Rules{Sequential: counted}, begins)
			last := begins
			for _, event := range events {
				if event.ID < last || counted && event.ID != last+1 {
					return false
				}
				// An event that names no id has that of the event before it.
				raw := strings.ReplaceAll(string(event.Raw), "\r", "")
				if event.ID == last && strings.Contains("\n"+raw, "\nid:") && strings.HasSuffix(raw, "\n\n") {
					return false
				}
				last = event.ID
			}
			return !counted || end != nil || len(events) > 0 && events[len(events)-1].Done()
		}, gen.Int64(), gen.IntRange(0, 5)))
	}
	properties.TestingRun(t)
}

func TestNextBoundsEvents(t *testing.T) {
	for name, text := range map[string]string{
		"one line":   "data: " + strings.Repeat("x", MaximumEvent),
		"many lines": strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaximumEvent/1000),
	} {
		for _, counted := range []bool{false, true} {
			events, err := readRun(strings.NewReader(text+"\n\n"), Rules{Sequential: counted}, 0)
			if len(events) > 0 || !apierror.Is(err, apierror.RunFailed) {
				t.Errorf("%s, counted %v: %d events, %v", name, counted, len(events), err)
			}
		}
	}
}

// A source that breaks off is not one that ends.
func TestNextDistinguishesBreakFromEnd(t *testing.T) {
	for _, text := range []string{"", "id: 1\n", "id: 1\ndata: x\n\n", "id: 1\ndata: x\n\nid: 2\nda"} {
		for _, counted := range []bool{false, true} {
			source := io.MultiReader(strings.NewReader(text), brokenReader{})
			_, err := readRun(source, Rules{Sequential: counted}, 0)
			if !apierror.Is(err, apierror.RunFailed) || EndsRun(err) {
				t.Errorf("%q, counted %v: %v", text, counted, err)
			}
		}
	}
}

// brokenReader fails at once.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// A run that breaks off at the end of its connection wraps io.EOF, and is still not complete.
func TestEndsRun(t *testing.T) {
	_, brokenOff := readRun(strings.NewReader("id: 1\nevent: token\n"), Rules{Sequential: true}, 0)
	if !errors.Is(brokenOff, io.EOF) || EndsRun(brokenOff) || EndsRun(nil) || !EndsRun(io.EOF) {
		t.Errorf("broken off: %v, %v", brokenOff, EndsRun(brokenOff))
	}
}

func TestExpectEOF(t *testing.T) {
	end := "id: 1\nevent: done\ndata: {\"events\":0}\n\n"
	for text, want := range map[string]bool{end: true, end + "x": false} {
		reader := NewReader(strings.NewReader(text), Rules{Sequential: true}, 0)
		if _, err := reader.Next(); err != nil || reader.ExpectEOF() != want {
			t.Errorf("%q: %v, not %v", text, err, want)
		}
	}
}
