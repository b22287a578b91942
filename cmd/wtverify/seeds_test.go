package main

import (
	"errors"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/simulation"
)

func TestCheckFlags(t *testing.T) {
	known := []string{"a", "b"}
	for name, test := range map[string]struct {
		seeds  seedRange
		atOnce int
		faults []string
		text   string
	}{
		"least":           {seedRange{1, 1}, 1, nil, ""},
		"most":            {seedRange{1, 1_000_000}, 16, known, ""},
		"seed 0":          {seedRange{0, 1}, 1, nil, "seeds 1 from 0: give --from of at least 1 and --seeds from 1 to"},
		"no seeds":        {seedRange{1, 0}, 1, nil, "seeds 0 from 1: give --from of at least 1"},
		"too many seeds":  {seedRange{1, 1_000_001}, 1, nil, "seeds 1000001 from 1: "},
		"no fault":        {seedRange{1, 1}, 0, nil, "--at-once 0: give 1 to 16"},
		"too many faults": {seedRange{1, 1}, 17, nil, "--at-once 17: give 1 to 16"},
		"unknown fault":   {seedRange{1, 1}, 1, []string{"a", "c"}, `there is no fault "c": give one of a, b`},
	} {
		err := checkFlags(test.seeds, test.atOnce, test.faults, known)
		var usage *usageError
		if (err != nil) != (test.text != "") || err != nil && !errors.As(err, &usage) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if err != nil && !strings.HasPrefix(err.Error(), test.text) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestFaultSets(t *testing.T) {
	all := []string{"a", "b", "c"}
	for name, test := range map[string]struct {
		requested []string
		want      [][]string
	}{
		"none requested":  {nil, [][]string{all}},
		"one":             {[]string{"b"}, [][]string{{"b"}}},
		"some together":   {[]string{"b", "c"}, [][]string{{"b", "c"}}},
		"each by itself":  {[]string{eachFault}, [][]string{{"a"}, {"b"}, {"c"}}},
		"each and others": {[]string{eachFault, "b"}, [][]string{{eachFault, "b"}}},
	} {
		if sets := faultSets(test.requested, all); !reflect.DeepEqual(sets, test.want) {
			t.Errorf("%s: %q instead of %q", name, sets, test.want)
		}
	}
}

// The workers that share a range run every seed once: none is skipped or run twice.
func TestSimulateRunsEachSeed(t *testing.T) {
	var mutex sync.Mutex
	runs := map[int64]int{}
	output := &strings.Builder{}
	clean := simulate(output, seedRange{from: 5, count: 40}, func(seed int64) *simulation.World {
		mutex.Lock()
		defer mutex.Unlock()
		runs[seed]++
		return simulation.NewWorld(seed)
	})
	if want := "40 seeds, 0 changes acknowledged, 0 awards checked\nverdict: clean\n"; !clean || output.String() != want {
		t.Errorf("%q instead of %q", output, want)
	}
	for seed := int64(5); seed < 45; seed++ {
		if runs[seed] != 1 {
			t.Errorf("seed %d was run %d times", seed, runs[seed])
		}
	}
	if len(runs) != 40 {
		t.Errorf("%d seeds were run", len(runs))
	}
}

func TestSummaryNamesWhatBroke(t *testing.T) {
	output := &strings.Builder{}
	summary := newSummary(output)
	world := simulation.NewWorld(1)
	world.Check.Violations = append(world.Check.Violations, "seed 1: a rule")
	world.Log = []string{"1", "2", "3", "4", "5", "6", "7"}
	summary.add(world)
	summary.print(1)
	want := "BROKEN seed 1: a rule\n  harm done before: 2; 3; 4; 5; 6; 7\n" +
		"1 seeds, 0 changes acknowledged, 0 awards checked\n" +
		"verdict: rules broken; run again with --from SEED --seeds 1\n"
	if summary.clean || output.String() != want {
		t.Errorf("%q instead of %q", output, want)
	}
}

func TestWorstCasesAreThoseOfAllRuns(t *testing.T) {
	gathered := newWorstCases()
	gathered.add(histories.WorstCases{OutdatedSpec: time.Second, Return: 2 * time.Second})
	gathered.add(histories.WorstCases{OutdatedSpec: 3 * time.Second, Concurrent: 4})
	gathered.count(map[string]int{"done": 5, "refused": 1})
	gathered.count(map[string]int{"done": 6})
	output := &strings.Builder{}
	gathered.print(printer{output})
	want := `  worst case, final answer after a loss could be known: 0s
  worst case, first answer after the machines' return: 2s
  worst case, work against an acknowledged spec: 3s
  worst case, work to a closed zone: 0s
  worst case, work to a leaving runner: 0s
  worst case, repeats in ten seconds: 0 to 0 requests; most work beside which a cold runner got more: 4
  requests: done 11; refused 1;
`
	if output.String() != want {
		t.Errorf("%s\ninstead of\n%s", output, want)
	}
}
