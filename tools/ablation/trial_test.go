package main

import (
	"errors"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// fakeBench is a benchmark program that writes a report after 0.1 s, and fails on the day "bad".
const fakeBench = `#!/bin/sh
sleep 0.1
if [ "$3" = bad ]; then echo no such day; exit 1; fi
while [ $# -gt 0 ]; do
  if [ "$1" = --report ]; then echo '{"G":1}' >"$2"; fi
  shift
done
`

// newRepository creates a git repository with a deploy file, changes into it, and returns options for trials of it with
// the fake benchmark.
func newRepository(t *testing.T, deploy string) options {
	t.Helper()
	repository, folder := t.TempDir(), t.TempDir()
	bench := filepath.Join(folder, "bench")
	if err := os.WriteFile(bench, []byte(fakeBench), directoryMode); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(repository, filepath.Dir(deployFile)), directoryMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(repository, deployFile), []byte(deploy), fileMode); err != nil {
		t.Fatal(err)
	}
	if output, err := exec.CommandContext(t.Context(), "git", "init", "-q", repository).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	t.Chdir(repository)
	return options{bench: bench, out: filepath.Join(folder, "out"), sites: []string{"/x/one.toml"},
		days: []string{"quiet-1"}, seeds: []int64{1}, features: []string{"homes"}, jobs: 2}
}

func TestTrialsBeginWithTheBaseline(t *testing.T) {
	chosen := options{sites: []string{"a.toml"}, days: []string{"d"}, seeds: []int64{1, 2}, features: []string{"homes"}}
	want := []trial{{baseline, "a.toml", "d", 1}, {baseline, "a.toml", "d", 2},
		{"homes", "a.toml", "d", 1}, {"homes", "a.toml", "d", 2}}
	if got := chosen.trials(); !slices.Equal(got, want) {
		t.Errorf("%v instead of %v", got, want)
	}
}

// Each feature's trials run in their own copy of the sources, a trial that fails is logged and gets no report, and a
// trial that has a report is not run again.
func TestRunTrials(t *testing.T) {
	chosen := newRepository(t, dataPlaneCommand+"--adapter platform\"\n")
	chosen.days = append(chosen.days, "bad")
	var lines strings.Builder
	if err := runTrials(t.Context(), chosen, log.New(&lines, "", 0)); err != nil {
		t.Fatal(err)
	}
	for _, next := range chosen.trials() {
		_, err := os.Stat(next.reportPath(chosen.out))
		if hasReport := err == nil; hasReport != (next.day != "bad") {
			t.Errorf("%+v has a report: %v", next, hasReport)
		}
		content, err := os.ReadFile(filepath.Join(chosen.sources(next.feature), deployFile))
		if err != nil {
			t.Fatal(err)
		}
		if isOff := strings.Contains(string(content), "--without homes"); isOff != (next.feature == "homes") {
			t.Errorf("%+v: the feature homes is switched off: %v", next, isOff)
		}
	}
	if !strings.Contains(lines.String(), "one without homes, bad 1: exit status 1: no such day") {
		t.Errorf("logged %q", lines.String())
	}
	kept := chosen.trials()[0].reportPath(chosen.out)
	if err := os.WriteFile(kept, []byte("kept"), fileMode); err != nil {
		t.Fatal(err)
	}
	if err := runTrials(t.Context(), chosen, log.New(&lines, "", 0)); err != nil {
		t.Fatal(err)
	}
	if content, err := os.ReadFile(kept); err != nil || string(content) != "kept" {
		t.Errorf("an existing report was written again: %q, %v", content, err)
	}
}

// If the sources of a trial can't be prepared, the trials that already run still finish and write their reports.
func TestRunTrialsWaitsForThoseThatRun(t *testing.T) {
	chosen := newRepository(t, "[roles]\n")
	err := runTrials(t.Context(), chosen, log.New(os.Stderr, "", 0))
	if !errors.Is(err, errNoDataPlane) {
		t.Errorf("%v, want %v", err, errNoDataPlane)
	}
	if _, err := os.Stat(chosen.trials()[0].reportPath(chosen.out)); err != nil {
		t.Errorf("the trial that ran has no report: %v", err)
	}
}
