package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSwitchedOff(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "..", deployFile))
	if err != nil {
		t.Fatal(err)
	}
	changed, err := switchedOff(string(content), "homes")
	if err != nil || !strings.Contains(changed, "target/wtdata --without homes --adapter") || strings.Contains(changed, "wtcore --without") {
		t.Fatalf("%v: %s", err, changed)
	}
	if _, err := switchedOff("[roles]", "homes"); err == nil {
		t.Fatal("a deploy file without a data plane is taken")
	}
}

// The table pairs runs of the same day and seed, leaves out what was not played, and tells of broken rules.
func TestTable(t *testing.T) {
	given := settings{out: t.TempDir(), sites: []string{"/x/one.toml"}, days: []string{"quiet-1", "scale-1"}, seeds: []int64{1, 2}, mechanisms: []string{"homes", "watch"}}
	if err := os.MkdirAll(filepath.Join(given.out, "reports"), 0o755); err != nil {
		t.Fatal(err)
	}
	write := func(mechanism, day string, seed int64, worth float64, breaks map[string]any) {
		content, err := json.Marshal(map[string]any{"G": worth, "prices": [][]any{{"probes", 10, 0.1}, {"machines", 1.5, 0.2}}, "breaks": breaks})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile((one{mechanism, given.sites[0], day, seed}).report(given.out), content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(everything, "quiet-1", 1, 0.5, nil)
	write(everything, "quiet-1", 2, 0.6, nil)
	write(everything, "scale-1", 1, 0.4, nil)
	write("homes", "quiet-1", 1, 0.4, nil)
	write("homes", "quiet-1", 2, 0.3, map[string]any{"LOST": 1})
	write("homes", "scale-1", 2, 0.9, nil)
	reports, err := readReports(given)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(table(given, reports)), "\n")
	if len(lines) != 3 || lines[2] != "| one | homes | -0.200 | 0.141 | +0.000 | 2 | 1 |" {
		t.Fatalf("%q", lines)
	}
	if priced := reports[one{everything, given.sites[0], "quiet-1", 1}].priced(); priced < 0.299 || priced > 0.301 {
		t.Errorf("prices add up to %v", priced)
	}
}
