package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeReport writes the report of a trial.
func writeReport(t *testing.T, chosen options, next trial, value float64, breaks map[string]any) {
	t.Helper()
	prices := [][]any{{"probes", 10, 0.1}, {"machines", 1.5, 0.2}}
	content, err := json.Marshal(map[string]any{"G": value, "prices": prices, "breaks": breaks})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(next.reportPath(chosen.out), content, fileMode); err != nil {
		t.Fatal(err)
	}
}

// The table pairs trials of the same day and seed, leaves out those without a report, and counts broken rules.
func TestTable(t *testing.T) {
	chosen := options{
		out:      t.TempDir(),
		sites:    []string{"/x/one.toml"},
		days:     []string{"quiet-1", "scale-1"},
		seeds:    []int64{1, 2},
		features: []string{"homes", "watch"},
	}
	if err := os.MkdirAll(filepath.Join(chosen.out, "reports"), directoryMode); err != nil {
		t.Fatal(err)
	}
	write := func(feature, day string, seed int64, value float64, breaks map[string]any) {
		writeReport(t, chosen, trial{feature, chosen.sites[0], day, seed}, value, breaks)
	}
	write(baseline, "quiet-1", 1, 0.5, nil)
	write(baseline, "quiet-1", 2, 0.6, nil)
	write(baseline, "scale-1", 1, 0.4, nil)
	write("homes", "quiet-1", 1, 0.4, nil)
	write("homes", "quiet-1", 2, 0.3, map[string]any{"LOST": 1})
	write("homes", "scale-1", 2, 0.9, nil)
	reports, err := readReports(chosen)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(table(chosen, reports)), "\n")
	if len(lines) != 3 || lines[2] != "| one | homes | -0.200 | 0.141 | +0.000 | 2 | 1 |" {
		t.Fatalf("%q", lines)
	}
	if price := reports[trial{baseline, chosen.sites[0], "quiet-1", 1}].totalPrice(); price < 0.299 || price > 0.301 {
		t.Errorf("prices add up to %v, want 0.3", price)
	}
}
