package main

import (
	"slices"
	"strings"
	"testing"

	"wardtray/control/node"
	"wardtray/control/operator"
	"wardtray/control/server"
)

// tableRows prints a part of a fleet's state and returns the rows below the heading, with one blank between columns.
func tableRows(t *testing.T, show func(*table, operator.FleetStatus), fleet operator.FleetStatus) []string {
	t.Helper()
	var output strings.Builder
	table := newTable(&output)
	show(table, fleet)
	if err := table.flush(); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(output.String()), "\n")[1:]
	for i, row := range rows {
		rows[i] = strings.Join(strings.Fields(row), " ")
	}
	return rows
}

func TestWarningsAreDistinct(t *testing.T) {
	core := server.Status{Core: node.Status{Warnings: []string{"one disk is left", "a chain is short"}}}
	fleet := operator.FleetStatus{ControlNodes: []server.Status{core, core}, Unreachable: []string{"a:1"}}
	want := []string{"a chain is short", "no answer from a:1", "one disk is left"}
	if got := warnings(fleet); !slices.Equal(got, want) {
		t.Errorf("%q instead of %q", got, want)
	}
}

// The complete status prints a heading for each part, in order; a single part has no heading. Warnings come last.
func TestStatusPrintsItsPartsAndThenTheWarnings(t *testing.T) {
	address := fakeCore(t, map[string]string{"GET /v1/status": `{"address":"c1","core":{"warnings":["a chain is short"]}}`})
	for part, want := range map[string][]string{
		"all": {"== chain", "== view", "== cohort", "== runners", "== tenants", "== reservations", "== counters",
			"warning: a chain is short"},
		"chain": {"warning: a chain is short"},
	} {
		var output, errors strings.Builder
		code := run([]string{"--core", address, "status", part}, strings.NewReader(""), &output, &errors)
		var found []string
		for line := range strings.Lines(output.String()) {
			if line = strings.TrimSpace(line); strings.HasPrefix(line, "==") || strings.HasPrefix(line, "warning") {
				found = append(found, line)
			}
		}
		if code != exitFine || !slices.Equal(found, want) {
			t.Errorf("%s: code %d, %q instead of %q, errors %q", part, code, found, want, errors.String())
		}
	}
}
