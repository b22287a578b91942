package stream

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wardtray/apierror"
)

// pieces gives a text in pieces of seeded lengths, now and then an empty one.
type pieces struct {
	rest   []byte
	random *rand.Rand
	most   int
}

func (pieces *pieces) Read(into []byte) (int, error) {
	if len(pieces.rest) == 0 {
		return 0, io.EOF
	}
	length := min(pieces.random.Intn(pieces.most+1), len(pieces.rest), len(into))
	copy(into, pieces.rest[:length])
	pieces.rest = pieces.rest[length:]
	// A source may tell its end together with its last bytes.
	if len(pieces.rest) == 0 && pieces.random.Intn(2) == 0 {
		return length, io.EOF
	}
	return length, nil
}

// read reads a whole run and gives its events and how it ended.
func read(source io.Reader, rules Rules, last int) ([]Event, error) {
	reader := NewReader(source, rules, last)
	var events []Event
	for {
		// What Ready tells must not change what follows.
		ready := reader.Ready()
		event, err := reader.Next()
		if ready && err != nil && apierror.Of(err).Code != apierror.RunFailed {
			return events, fmt.Errorf("an event was ready, and then: %w", err)
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
		if event.Done() && rules.Counted {
			return events, nil
		}
	}
}

func same(left, right []Event) bool {
	if len(left) != len(right) {
		return false
	}
	for place := range left {
		if left[place].ID != right[place].ID || left[place].Name != right[place].Name || !bytes.Equal(left[place].Data, right[place].Data) || !bytes.Equal(left[place].Raw, right[place].Raw) {
			return false
		}
	}
	return true
}

// properLines draws the lines of a proper event.
func properLines(random *rand.Rand, counted bool, id int) []string {
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

// spoilt draws what may be wrong with an event's lines.
func spoilt(random *rand.Rand, id int, lines []string) []string {
	odd := []func() []string{
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
	return odd[random.Intn(len(odd))]()
}

// written draws the text of a run: mostly proper events with rising ids, and now and then whatever else may come.
func written(random *rand.Rand, counted, proper bool) string {
	text, id := &strings.Builder{}, 0
	ending := []string{"\n", "\r\n"}[random.Intn(2)]
	count := random.Intn(12)
	for range count {
		id++
		if !counted {
			id += random.Intn(3)
		}
		lines := properLines(random, counted, id)
		if !proper && random.Intn(4) == 0 {
			lines = spoilt(random, id, lines)
		}
		text.WriteString(strings.Join(lines, ending))
		text.WriteString(ending + ending)
	}
	if counted {
		fmt.Fprintf(text, "id: %d%sevent: done%sdata: {\"events\":%d}%s%s", id+1, ending, ending, id, ending, ending)
	}
	content := text.String()
	if !proper && random.Intn(3) == 0 {
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
func TestPiecesMakeNoDifference(t *testing.T) {
	properties := properties()
	for _, counted := range []bool{false, true} {
		rules := Rules{Counted: counted}
		properties.Property(fmt.Sprint("the same events, counted ", counted), prop.ForAll(func(seed int64, most int) bool {
			random := rand.New(rand.NewSource(seed))
			text := written(random, counted, random.Intn(2) == 0)
			atOnce, oneEnd := read(strings.NewReader(text), rules, 0)
			inPieces, otherEnd := read(&pieces{rest: []byte(text), random: random, most: most}, rules, 0)
			return same(atOnce, inPieces) && fmt.Sprint(oneEnd) == fmt.Sprint(otherEnd)
		}, gen.Int64(), gen.IntRange(1, 3000)))
		properties.Property(fmt.Sprint("no byte lost or made up, counted ", counted), prop.ForAll(func(seed int64, most int) bool {
			random := rand.New(rand.NewSource(seed))
			text := written(random, counted, random.Intn(2) == 0)
			events, end := read(&pieces{rest: []byte(text), random: random, most: most}, rules, 0)
			passed, rest := "", text
			for _, event := range events {
				passed += string(event.Raw)
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
			return strings.HasPrefix(text, passed) && (end != io.EOF || passed == text)
		}, gen.Int64(), gen.IntRange(1, 3000)))
		properties.Property(fmt.Sprint("proper runs are whole, counted ", counted), prop.ForAll(func(seed int64, most int) bool {
			random := rand.New(rand.NewSource(seed))
			text := written(random, counted, true)
			_, end := read(&pieces{rest: []byte(text), random: random, most: most}, rules, 0)
			return end == map[bool]error{true: nil, false: io.EOF}[counted]
		}, gen.Int64(), gen.IntRange(1, 3000)))
	}
	properties.TestingRun(t)
}

// Whatever comes, ids only rise behind where the run begins, and counted ones leave none out and end with the right count.
func TestOrderIsNeverBroken(t *testing.T) {
	properties := properties()
	for _, counted := range []bool{false, true} {
		properties.Property(fmt.Sprint("ids rise, counted ", counted), prop.ForAll(func(seed int64, begins int) bool {
			random := rand.New(rand.NewSource(seed))
			text := written(random, counted, false)
			events, end := read(&pieces{rest: []byte(text), random: random, most: 64}, Rules{Counted: counted}, begins)
			last := begins
			for _, event := range events {
				if event.ID < last || counted && event.ID != last+1 {
					return false
				}
				// An event that names no id has that of the event before it.
				if event.ID == last && strings.Contains("\n"+string(event.Raw), "\nid:") && strings.HasSuffix(strings.ReplaceAll(string(event.Raw), "\r", ""), "\n\n") {
					return false
				}
				last = event.ID
			}
			return !counted || end != nil || len(events) > 0 && events[len(events)-1].Done()
		}, gen.Int64(), gen.IntRange(0, 5)))
	}
	properties.TestingRun(t)
}

func TestEventsAreBounded(t *testing.T) {
	for name, text := range map[string]string{"one line": "data: " + strings.Repeat("x", MaximumEvent), "many lines": strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaximumEvent/1000)} {
		for _, counted := range []bool{false, true} {
			if events, err := read(strings.NewReader(text+"\n\n"), Rules{Counted: counted}, 0); len(events) > 0 || !apierror.Is(err, apierror.RunFailed) {
				t.Errorf("%s, counted %v: %d events, %v", name, counted, len(events), err)
			}
		}
	}
}

// A source that breaks off is not one that ends.
func TestBreakIsNoEnd(t *testing.T) {
	for _, text := range []string{"", "id: 1\n", "id: 1\ndata: x\n\n", "id: 1\ndata: x\n\nid: 2\nda"} {
		for _, counted := range []bool{false, true} {
			if _, err := read(io.MultiReader(strings.NewReader(text), broken{}), Rules{Counted: counted}, 0); !apierror.Is(err, apierror.RunFailed) {
				t.Errorf("%q, counted %v: %v", text, counted, err)
			}
		}
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
