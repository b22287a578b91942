package scale

import (
	"math"
	"os"
	"strings"
	"testing"
)

const page = "../../docs/CAPACITY.md"

// The page's tables are what the committed results give.
func TestPageIsWhatTheResultsGive(t *testing.T) {
	tables, err := Tables("results")
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	filled, err := Fill(string(content), tables)
	if err != nil {
		t.Fatal(err)
	}
	if filled != string(content) {
		t.Errorf("write the page anew: wtverify hollow table --page docs/CAPACITY.md")
	}
}

// Every design that is needed has a section, and the first three sections are of what is worst.
func TestPageNamesTheWorstFirst(t *testing.T) {
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	all, err := ReadAll("results")
	if err != nil {
		t.Fatal(err)
	}
	ranked := Ranked(all)
	if len(ranked) < 3 {
		t.Fatalf("%d designs are needed", len(ranked))
	}
	var sections []string
	for _, line := range strings.Split(string(content), "\n") {
		if title, found := strings.CutPrefix(line, "### "); found {
			sections = append(sections, title)
		}
	}
	for place, worst := range ranked {
		if !strings.Contains(string(content), "### "+worst.Design+"\n") {
			t.Errorf("no section %q", worst.Design)
		}
		if place < 3 && (place >= len(sections) || sections[place] != worst.Design) {
			t.Errorf("section %d is not %q", place+1, worst.Design)
		}
	}
}

// Each line has a series with a size, and a design that is not empty where it does not hold.
func TestLinesAreWhole(t *testing.T) {
	all, err := ReadAll("results")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range lines {
		if series[line.series] == nil || line.what == "" || line.mechanism == "" || line.aim == 0 {
			t.Errorf("%+v", line)
			continue
		}
		fit, fitted := FitPoints(line.points(all))
		if at, _ := line.reach(all, fit); fitted && factor(at, line.bound, line.least) > 1 && line.design == "" {
			t.Errorf("%s, %s does not hold and names no design", line.role, line.what)
		}
	}
	for _, limit := range limits {
		if limit.asked > limit.has && limit.design == "" {
			t.Errorf("%s, %s does not hold and names no design", limit.role, limit.what)
		}
	}
}

func TestVerdictsTellTheFactor(t *testing.T) {
	for _, sample := range []struct {
		value, bound float64
		least        bool
		wanted       string
	}{{1, 0, false, "no bound given"}, {1, 2, false, "holds"}, {2, 2, false, "holds"}, {6, 2, false, "**3 times over**"}, {0, 1, true, "**not at all**"},
		{0.5, 1, true, "**2 times over**"}, {0.999, 1, true, "holds"}, {1, 1, true, "holds"}} {
		if told := verdict(sample.value, sample.bound, sample.least); told != sample.wanted {
			t.Errorf("%v of %v: %s", sample.value, sample.bound, told)
		}
	}
	if !math.IsInf(factor(0, 1, true), 1) {
		t.Error("nothing of something is no factor")
	}
}

func TestFillWantsEveryMark(t *testing.T) {
	filled, err := Fill("a\n<!-- table x -->\nold\n<!-- end x -->\nb\n", map[string]string{"x": "new\n"})
	if err != nil || filled != "a\n<!-- table x -->\nnew\n<!-- end x -->\nb\n" {
		t.Errorf("%q %v", filled, err)
	}
	if _, err := Fill("a", map[string]string{"x": ""}); err == nil {
		t.Error("a page without a place was filled")
	}
}

func TestLongestUnacknowledgedSpansChangesOfUnknownOutcome(t *testing.T) {
	run := Run{Phases: []Phase{{Name: stageBefore, Changes: []ChangeRecord{{At: 1, Seconds: 9, Outcome: "accepted"}}},
		{Name: stageSilent, Changes: []ChangeRecord{{At: 8, Seconds: 5, Outcome: "unknown"}}},
		{Name: stageDegraded, Changes: []ChangeRecord{{At: 13, Seconds: 5, Outcome: "unknown"}, {At: 18, Seconds: 3, Outcome: "accepted"}, {At: 22, Seconds: 1, Outcome: "accepted"}}}}}
	if longest, found := longestUnacknowledged(run); !found || longest != 13 {
		t.Errorf("%v %v", longest, found)
	}
	if _, found := longestUnacknowledged(Run{}); found {
		t.Error("a run without changes gave a figure")
	}
}
