package modelcheck

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"
)

// gcPercent is the growth of the heap between two garbage collections, in percent. A search allocates much short-lived
// memory.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

// TestScenarios searches each scenario up to its maximum number of states, with seed 1 or with the seeds from 1 to
// WARDTRAY_SEEDS.
func TestScenarios(t *testing.T) {
	for _, scenario := range Scenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			for seed := int64(1); seed <= seeds(t); seed++ {
				search(t, scenario, seed)
			}
		})
	}
}

func seeds(t *testing.T) int64 {
	t.Helper()
	set := os.Getenv("WARDTRAY_SEEDS")
	if set == "" {
		return 1
	}
	count, err := strconv.ParseInt(set, 10, 64)
	if err != nil || count < 1 {
		t.Fatalf("WARDTRAY_SEEDS is %q, want a positive number", set)
	}
	return count
}

func search(t *testing.T, scenario Scenario, seed int64) {
	t.Helper()
	started, output := time.Now(), &strings.Builder{}
	held, err := Print(output, []Scenario{scenario}, Options{States: scenario.States / raceStateDivisor, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s(%v)", output, time.Since(started).Round(time.Millisecond))
	if !held {
		t.Error("a property does not hold; the trace is above")
	}
}

// TestSearchRepeats checks that two searches with the same seed have the same result.
func TestSearchRepeats(t *testing.T) {
	scenario, _ := Find("race")
	var seen [2]Result
	for index := range seen {
		result, err := Explore(scenario, Options{States: 400, Depth: 30, Seed: 7})
		if err != nil {
			t.Fatal(err)
		}
		seen[index] = result
	}
	if seen[0].String() != seen[1].String() {
		t.Errorf("two searches with the same seed differ:\n%v\n%v", seen[0], seen[1])
	}
}

// TestSmallDepthIsExhausted checks that every order of three actions is tried, whatever the seed.
func TestSmallDepthIsExhausted(t *testing.T) {
	scenario, _ := Find("race")
	states := make([]int, 0, 2)
	for seed := range int64(2) {
		result, err := Explore(scenario, Options{States: 10000, Depth: 3, Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		if !result.Exhausted || result.Complete != 3 {
			t.Errorf("not exhausted: %v", result)
		}
		states = append(states, result.States)
	}
	if states[0] != states[1] {
		t.Errorf("%d and %d states within three actions; the seed must not matter", states[0], states[1])
	}
}

// TestTracesRoundTrip checks that a formatted trace is parsed back unchanged, and that invalid lines are refused.
func TestTracesRoundTrip(t *testing.T) {
	trace := []Action{
		{Verb: Wait},
		{Verb: Deliver, Subject: "ChainPass:core1>core2", Message: 0xab},
		{Verb: Cut, Subject: "core1,daemon1"},
	}
	lines := make([]string, 0, len(trace))
	for _, action := range trace {
		lines = append(lines, action.String())
	}
	read, err := ReadTrace(strings.Join(lines, "\n"))
	if err != nil || len(read) != len(trace) {
		t.Fatal(read, err)
	}
	for index := range trace {
		if read[index] != trace[index] {
			t.Errorf("%v was parsed as %v", trace[index], read[index])
		}
	}
	for _, wrong := range []string{"deliver a x", "tick a 1", "a b c d"} {
		if _, err := ReadTrace(wrong); err == nil {
			t.Errorf("%q was accepted as an action", wrong)
		}
	}
}

// TestKnownTraces replays the traces in testdata, each of which once violated a property, and checks that all
// properties hold. A file's name begins with the name of its scenario.
func TestKnownTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".trace")
		t.Run(name, func(t *testing.T) {
			scenario, found := Find(strings.SplitN(name, "_", 2)[0])
			content, err := os.ReadFile(file)
			if !found || err != nil {
				t.Fatal(found, err)
			}
			trace, err := ReadTrace(string(content))
			if err != nil {
				t.Fatal(err)
			}
			violation, err := Replay(scenario, trace)
			if violation != "" || err != nil {
				t.Errorf("BROKEN %s %v", violation, err)
			}
		})
	}
}
