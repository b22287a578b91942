package loadtest

import (
	"slices"
	"strings"
	"testing"
	"time"

	"wardtray/verify/histories"
)

func TestEventParser(t *testing.T) {
	sent := time.Unix(100, 0)
	for name, trial := range map[string]struct {
		stream string
		want   histories.ClientAttempt
	}{
		"complete": {
			"id: 1\nevent: token\ndata: {\"run\":\"x\"}\n\nid: 2\nevent: done\ndata: {\"run\":\"x\"}\n\n",
			histories.ClientAttempt{IDs: []int{1, 2}, Runs: []string{"x", "x"}, Done: true},
		},
		"broken off": {
			"id: 1\nevent: token\ndata: {\"run\":\"x\"}\n\nid: 2\nevent: done\n",
			histories.ClientAttempt{IDs: []int{1}, Runs: []string{"x"}},
		},
		"ended by an error": {
			"id: 1\nevent: token\ndata: {\"run\":\"x\"}\n\nevent: error\ndata: {\"kind\":\"run_failed\"}\n\n",
			histories.ClientAttempt{IDs: []int{1}, Runs: []string{"x"}, Error: true, Kind: "run_failed"},
		},
		"unknown fields and data that is no object": {
			"retry: 5\nid: 1\nevent: token\ndata: nothing\n\n",
			histories.ClientAttempt{IDs: []int{1}, Runs: []string{""}},
		},
	} {
		record := &histories.ClientAttempt{Sent: sent}
		parser := EventParser{Record: record}
		for line := range strings.Lines(trial.stream) {
			parser.ParseLine(sent.Add(time.Second), strings.TrimRight(line, "\n"))
		}
		if !slices.Equal(record.IDs, trial.want.IDs) || !slices.Equal(record.Runs, trial.want.Runs) ||
			record.Done != trial.want.Done || record.Error != trial.want.Error || record.Kind != trial.want.Kind {
			t.Errorf("%s: recorded %+v, want %+v", name, *record, trial.want)
		}
		if record.First != time.Second || !record.Last.Equal(sent.Add(time.Second)) {
			t.Errorf("%s: first after %v, last at %v", name, record.First, record.Last)
		}
	}
}

func TestParseRejection(t *testing.T) {
	for body, want := range map[string]histories.ClientAttempt{
		`{"kind":"purse_spent","detail":"d","ran":"did not run"}`: {
			Kind: "purse_spent", Detail: "d", Ran: "did not run",
		},
		`{"detail":"d"}`: {Kind: kindUnreadable},
		`<html>`:         {Kind: kindUnreadable},
		``:               {Kind: kindUnreadable},
	} {
		record := &histories.ClientAttempt{}
		ParseRejection(record, []byte(body))
		if record.Kind != want.Kind || record.Detail != want.Detail || record.Ran != want.Ran {
			t.Errorf("%q: recorded %+v, want %+v", body, *record, want)
		}
	}
}
