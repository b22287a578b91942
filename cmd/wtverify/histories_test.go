package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wardtray/verify/linearizability"
	"wardtray/verify/simulation"
)

// writeHistory writes a history of a change that was accepted as epoch 1 and of two later reads, which returned the
// epochs first and second, and returns the file's path.
func writeHistory(t *testing.T, first, second uint64) string {
	t.Helper()
	span := func(start time.Duration) linearizability.Span {
		return linearizability.Span{Start: start * time.Second, End: start*time.Second + time.Millisecond}
	}
	recording := linearizability.Recording{Calls: []linearizability.Call{
		{Span: span(1), Kind: linearizability.KindChange, Operation: "a", Answer: linearizability.AnswerDone, Result: 1},
		{Span: span(2), Kind: linearizability.KindRead, Answer: linearizability.AnswerDone, Result: first},
		{Span: span(3), Kind: linearizability.KindRead, Answer: linearizability.AnswerDone, Result: second},
	}}
	file := filepath.Join(t.TempDir(), "history.json")
	if err := recording.WriteFile(file); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestCheckHistory(t *testing.T) {
	t.Parallel()
	var output bytes.Buffer
	pages := t.TempDir()
	if err := checkHistory(&output, writeHistory(t, 1, 1), time.Minute, pages); err != nil {
		t.Errorf("%v: %s", err, &output)
	}
	for _, name := range []string{linearizability.ConfigurationPage, linearizability.ExecutionsPage} {
		if page, err := os.ReadFile(filepath.Join(pages, name)); err != nil || !bytes.Contains(page, []byte("<html")) {
			t.Errorf("%s: %d bytes, %v", name, len(page), err)
		}
	}
	output.Reset()
	err := checkHistory(&output, writeHistory(t, 1, 0), time.Minute, "")
	if !errors.Is(err, errRulesBroken) || !strings.Contains(output.String(), "not linearizable: [configuration]") {
		t.Errorf("a read of an older epoch than the read before: %v, %s", err, &output)
	}
	if err := checkHistory(&output, filepath.Join(pages, linearizability.ConfigurationPage), time.Minute, ""); err == nil {
		t.Error("a page is accepted as a history")
	}
}

func TestRecorderWritesReadableHistories(t *testing.T) {
	t.Parallel()
	world := simulation.RunFaultsEvery(1, controlOnly["guild"], []string{"core killed"}, 1, time.Second)
	folder := t.TempDir()
	recorded := &recorder{folder: folder}
	recorded.record(world)
	if err := recorded.failure(); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	if err := checkHistory(&output, filepath.Join(folder, "1.json"), time.Minute, ""); err != nil {
		t.Errorf("%v: %s", err, &output)
	}
	misplaced := &recorder{folder: filepath.Join(folder, "missing")}
	misplaced.record(world)
	if misplaced.failure() == nil {
		t.Error("no error for a history that could not be written")
	}
}
