package main

import (
	"errors"
	"strings"
	"testing"
)

// A trial must not count a failure as detection if it has another cause, for example if the pattern matches only the
// name of the test or its file, which appears in the output of every failure.
func TestTrial(t *testing.T) {
	const red = "Red: broken:"
	cases := []struct {
		name, red, result string
		finding           error
		label             string
	}{
		{"noticed", red, "2", nil, "noticed "},
		{"does not build", red, "unknown", errNotBuilding, "NOT RUN "},
		{"stays green", red, "1 + 0", errTestPassed, "MISSED  "},
		{"red for another reason", "Red: lost:", "2", errOtherFailure, "MISSED  "},
		{"red by the test's name only", "Red: TestCodeAlone", "2", errOtherFailure, "MISSED  "},
		{"red by the file's name only", "Red: code_test", "2", errOtherFailure, "MISSED  "},
	}
	sampleTree(t)
	if output, err := run(".", nil, "git", "init", "--quiet"); err != nil {
		t.Fatal(err, output)
	}
	for _, tried := range cases {
		t.Run(tried.name, func(t *testing.T) {
			head := strings.NewReplacer("TestCode/^part", "TestCodeAlone$", red, tried.red).Replace(sampleHead)
			patch := samplePatch(t, head+strings.ReplaceAll(sampleDiff, "RESULT", tried.result))
			line, err := runTrial(patch)
			if !errors.Is(err, tried.finding) {
				t.Fatalf("wanted %v, got %v", tried.finding, err)
			}
			if detected := strings.HasSuffix(line, "broken: 2"); detected != (tried.finding == nil) {
				t.Errorf("detected by the line %q", line)
			}
			judged := trialVerdict(patch, line, err)
			if judged.succeeded != (tried.finding == nil) || !strings.HasPrefix(judged.line, tried.label) {
				t.Errorf("verdict %+v", judged)
			}
		})
	}
}
