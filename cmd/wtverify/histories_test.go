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

// writeHistory writes a history of two reads, of epochs one after the other, and returns its file.
func writeHistory(t *testing.T, first, second uint64) string {
	t.Helper()
	span := func(second time.Duration) linearizability.Span {
		return linearizability.Span{Start: second * time.Second, End: second*time.Second + time.Millisecond}
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

func TestJudgeFile(t *testing.T) {
	t.Parallel()
	var output bytes.Buffer
	pages := t.TempDir()
	if err := judgeFile(&output, writeHistory(t, 1, 1), time.Minute, pages); err != nil {
		t.Errorf("%v: %s", err, &output)
	}
	for _, name := range []string{linearizability.ConfigurationPage, linearizability.ExecutionsPage} {
		if page, err := os.ReadFile(filepath.Join(pages, name)); err != nil || !bytes.Contains(page, []byte("<html")) {
			t.Errorf("%s: %d bytes, %v", name, len(page), err)
		}
	}
	output.Reset()
	err := judgeFile(&output, writeHistory(t, 1, 0), time.Minute, "")
	if !errors.Is(err, errRulesBroken) || !strings.Contains(output.String(), "not linearizable: [configuration]") {
		t.Errorf("a read that goes back: %v, %s", err, &output)
	}
	if err := judgeFile(&output, filepath.Join(pages, linearizability.ConfigurationPage), time.Minute, ""); err == nil {
		t.Error("judged what is no history")
	}
}

func TestRecorderWritesWhatCanBeJudged(t *testing.T) {
	t.Parallel()
	world := simulation.PlayEvery(1, controlOnly["guild"], []string{"core killed"}, 1, time.Second)
	folder := t.TempDir()
	kept := &recorder{folder: folder}
	kept.record(world)
	if err := kept.failure(); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	if err := judgeFile(&output, filepath.Join(folder, "1.json"), time.Minute, ""); err != nil {
		t.Errorf("%v: %s", err, &output)
	}
	nowhere := &recorder{folder: filepath.Join(folder, "missing")}
	nowhere.record(world)
	if nowhere.failure() == nil {
		t.Error("a history that could not be written is not told")
	}
}
