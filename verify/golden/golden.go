// Package golden helps tests that pin a format: it fills values completely and always alike, and compares what they
// encode to with files that are kept in the repository. A golden file is written only by a test run with -update.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew; review every line that changes")

// folder is where a package keeps its golden files.
const folder = "testdata"

// Updating reports whether this run is to write golden files.
func Updating() bool { return *update }

// Compare wants text to be what a golden file of the package under test holds, and names the lines that differ.
func Compare(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join(folder, name)
	if Updating() {
		write(t, path, text)
	}
	wanted, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(wanted) == text {
		return
	}
	for _, line := range missing(string(wanted), text) {
		t.Errorf("%s holds this line, which is not written any more: %s", path, line)
	}
	for _, line := range missing(text, string(wanted)) {
		t.Errorf("%s lacks this line: %s", path, line)
	}
	t.Errorf("%s: the format has changed; processes and data of an earlier version go by the old one", path)
}

// Lines returns the lines of a golden file, in which a space divides a key from its value.
func Lines(t *testing.T, name string) map[string]string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(content)) {
		key, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if _, twice := lines[key]; twice {
			t.Fatalf("%s: %s is there twice", name, key)
		}
		lines[key] = value
	}
	return lines
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// missing returns the lines of a text that another lacks.
func missing(text, other string) []string {
	held := map[string]bool{}
	for line := range strings.Lines(other) {
		held[line] = true
	}
	var lines []string
	for line := range strings.Lines(text) {
		if !held[line] {
			lines = append(lines, strings.TrimSuffix(line, "\n"))
		}
	}
	return lines
}
