// Command knownred reads KNOWN-RED.txt, the tests that fail for a real fault that is not mended yet. It prints what is
// passed over to the standard error output and the pattern for go test -skip, empty if nothing is listed, to the
// standard output. A list that is too long, malformed or stale ends it with exit code 1.
package main

import (
	"fmt"
	"os"
)

func main() {
	const file = "KNOWN-RED.txt"
	content, err := os.ReadFile(file)
	if err != nil {
		exit(err)
	}
	listed, err := parseList(string(content))
	if err != nil {
		exit(fmt.Errorf("%s: %w", file, err))
	}
	if err := checkDeclared(os.DirFS("."), listed); err != nil {
		exit(fmt.Errorf("%s: %w", file, err))
	}
	if len(listed) == 0 {
		fmt.Fprintln(os.Stderr, "known red, passed over: none")
	}
	for _, test := range listed {
		fmt.Fprintf(os.Stderr, "known red, passed over: %s (%s; issue %s)\n", test.pattern, test.cause, test.issue)
	}
	fmt.Println(skipPattern(listed))
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, "knownred:", err)
	os.Exit(1)
}
