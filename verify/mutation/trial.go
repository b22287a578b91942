package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// seedsVariable is the environment variable with the number of seeds for the simulation's tests.
const seedsVariable = "WARDTRAY_SEEDS"

// lineLimit is the maximum number of bytes that are printed of the output line by which a test detects a patch.
const lineLimit = 200

// trialTimeout is the maximum duration of a patch's test.
const trialTimeout = 20 * time.Minute

// runTrials runs each patch's test on a patched copy of the tree and reports whether every patch was detected.
func runTrials(patches []mutation, jobs int) bool {
	succeeded := evaluateAll(patches, jobs, func(patch mutation) verdict {
		line, err := runTrial(patch)
		return trialVerdict(patch, line, err)
	})
	fmt.Printf("%d of %d pieces of broken code noticed\n", succeeded, len(patches))
	return succeeded == len(patches)
}

var (
	// failedTest matches the line by which a test binary reports any failed test.
	failedTest = regexp.MustCompile(`^--- FAIL: `)
	// failurePosition matches the file and line before the text of a failure.
	failurePosition = regexp.MustCompile(`^\w+_test\.go:\d+: `)
)

// reason returns the part of a trimmed output line that may state why a test failed: the line without its position, or
// nothing if the line only names the failed test.
func reason(line string) string {
	if failedTest.MatchString(line) {
		return ""
	}
	return failurePosition.ReplaceAllString(line, "")
}

// trialVerdict returns the verdict on a trial. It distinguishes a patch that its test did not detect from one whose
// test could not run.
func trialVerdict(patch mutation, line string, err error) verdict {
	switch {
	case err == nil:
		return verdict{succeeded: true, line: resultLine("noticed", patch, line)}
	case errors.Is(err, errTestPassed), errors.Is(err, errOtherFailure):
		return verdict{line: resultLine("MISSED", patch, err.Error())}
	default:
		return verdict{line: resultLine("NOT RUN", patch, err.Error())}
	}
}

// runTrial returns the output line by which the test detected a patch. The error is errTestPassed or errOtherFailure if
// the test did not detect it; with any other error the test did not run.
func runTrial(patch mutation) (string, error) {
	folder, err := os.MkdirTemp("", "broken-")
	if err != nil {
		return "", err
	}
	defer removeAll(folder)
	if err := copyTree(folder); err != nil {
		return "", err
	}
	if err := apply(patch, folder); err != nil {
		return "", err
	}
	if output, err := run(folder, nil, "go", "build", "-trimpath", "./..."); err != nil {
		return "", fmt.Errorf("%w: %s", errNotBuilding, truncate(output))
	}
	binary := filepath.Join(folder, "trial.test")
	if err := compileTests(folder, patch.packageFolder, binary); err != nil {
		return "", err
	}
	return runTest(patch, folder, binary)
}

// runTest runs the test of a patch from its binary and returns the output line by which it detected the patch.
func runTest(patch mutation, folder, binary string) (string, error) {
	output, err := run(filepath.Join(folder, patch.packageFolder), []string{seedsVariable + "=" + patch.seeds}, binary,
		"-test.paniconexit0", "-test.timeout", trialTimeout.String(), "-test.run", patch.test)
	if err == nil {
		return "", fmt.Errorf("%w: %s", errTestPassed, patch.test)
	}
	for line := range strings.Lines(output) {
		line = strings.TrimSpace(line)
		if patch.failurePattern.MatchString(reason(line)) {
			return line[:min(len(line), lineLimit)], nil
		}
	}
	return "", fmt.Errorf("%w than %q: %s", errOtherFailure, patch.failurePattern, truncate(output))
}
