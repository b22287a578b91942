// Command knownred reads KNOWN-RED.txt, the list of tests that fail because of a known fault that is not fixed yet. It
// prints a pattern for go test -skip to standard output, which is empty if the list is, and the skipped tests to
// standard error. The exit code is 1 if the list is too long, is malformed, or names a test that does not exist.
package main

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

// listFile is the path of the list, relative to the repository's root.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.DirFS("."), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run checks the list of a tree, and prints the pattern to output and the skipped tests to report.
func run(tree fs.FS, output, report io.Writer) error {
	tests, err := readList(tree)
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	if _, err := io.WriteString(report, describe(tests)); err != nil {
		return err
	}
	_, err = fmt.Fprintln(output, skipPattern(tests))
	return err
}

// readList reads the list of a tree and checks that the tree declares its tests.
func readList(tree fs.FS) ([]knownRed, error) {
	content, err := fs.ReadFile(tree, listFile)
	if err != nil {
		return nil, err
	}
	tests, err := parseList(string(content))
	if err != nil {
		return nil, err
	}
	return tests, checkDeclared(tree, tests)
}

// describe returns a line for each test that is skipped.
func describe(tests []knownRed) string {
	if len(tests) == 0 {
		return "known red, passed over: none\n"
	}
	var lines strings.Builder
	for _, test := range tests {
		fmt.Fprintf(&lines, "known red, passed over: %s (%s; issue %s)\n", test.pattern, test.cause, test.issue)
	}
	return lines.String()
}
