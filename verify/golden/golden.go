// Package golden helps tests that pin an encoding. It fills every field of a value deterministically and compares the
// encoded value with a golden file in the repository. Only a test run with -update writes golden files.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files; review every line that changes")

// folder contains a package's golden files.
const folder = "testdata"

// Updating reports whether this run writes golden files, as the flag -update requests.
func Updating() bool { return *update }

// Compare compares text with a golden file of the package under test. If they differ, it fails the test and reports the
// lines that differ. With -update it writes the file first.
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
		t.Errorf("%s contains this line, which is not written any more: %s", path, line)
	}
	for _, line := range missing(text, string(wanted)) {
		t.Errorf("%s lacks this line: %s", path, line)
	}
	t.Errorf("%s: the format has changed; processes and stored data of earlier versions use the old one", path)
}

// Lines returns the values in a golden file by their keys. Each line is a key and a value, separated by a space.
func Lines(t *testing.T, name string) map[string]string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(content)) {
		key, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if _, duplicate := lines[key]; duplicate {
			t.Fatalf("%s: duplicate key %s", name, key)
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

// missing returns the lines of text that other lacks.
func missing(text, other string) []string {
	present := map[string]bool{}
	for line := range strings.Lines(other) {
		present[line] = true
	}
	var lines []string
	for line := range strings.Lines(text) {
		if !present[line] {
			lines = append(lines, strings.TrimSuffix(line, "\n"))
		}
	}
	return lines
}
