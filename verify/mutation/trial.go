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

// seedsVariable is the environment variable by which the tests of the simulator get their number of seeds.
const seedsVariable = "WARDTRAY_SEEDS"

// lineLimit is how many bytes are printed of the line by which a test notices a patch.
const lineLimit = 200

// trialTimeout is how long the test of a patch may take.
const trialTimeout = 20 * time.Minute

// tryAll runs each patch's test on a patched copy of the tree and reports whether every one was noticed.
func tryAll(patches []mutation, jobs int) bool {
	noticed := judgeAll(patches, jobs, func(patch mutation) verdict {
		line, err := try(patch)
		return trialVerdict(patch, line, err)
	})
	fmt.Printf("%d of %d pieces of broken code noticed\n", noticed, len(patches))
	return noticed == len(patches)
}

var (
	// failedTest matches the line by which a test binary reports any failed test.
	failedTest = regexp.MustCompile(`^--- FAIL: `)
	// failurePosition matches what stands before the text of any failure: the file and the line.
	failurePosition = regexp.MustCompile(`^\w+_test\.go:\d+: `)
)

// reason returns what a trimmed line of a failed test's output says about the reason: nothing where it only names the
// test, and the text without the position where it reports a failure.
func reason(line string) string {
	if failedTest.MatchString(line) {
		return ""
	}
	return failurePosition.ReplaceAllString(line, "")
}

// trialVerdict tells a patch that its test missed from one that could not be tried.
func trialVerdict(patch mutation, line string, err error) verdict {
	switch {
	case err == nil:
		return verdict{succeeded: true, line: labelled("noticed", patch, line)}
	case errors.Is(err, errStaysGreen), errors.Is(err, errOtherFailure):
		return verdict{line: labelled("MISSED", patch, err.Error())}
	default:
		return verdict{line: labelled("NOT RUN", patch, err.Error())}
	}
}

// try returns the line by which the test noticed a patch. The error is errStaysGreen or errOtherFailure where the test
// did not; with any other error the test was not run.
func try(patch mutation) (string, error) {
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
		return "", fmt.Errorf("%w: %s", errNotBuilding, beginning(output))
	}
	binary := filepath.Join(folder, "trial.test")
	if err := compileTests(folder, patch.packageFolder, binary); err != nil {
		return "", err
	}
	return runTest(patch, folder, binary)
}

// runTest runs the test of a patch by its binary and returns the line by which it noticed the patch.
func runTest(patch mutation, folder, binary string) (string, error) {
	output, err := run(filepath.Join(folder, patch.packageFolder), []string{seedsVariable + "=" + patch.seeds}, binary,
		"-test.paniconexit0", "-test.timeout", trialTimeout.String(), "-test.run", patch.test)
	if err == nil {
		return "", fmt.Errorf("%w: %s", errStaysGreen, patch.test)
	}
	for line := range strings.Lines(output) {
		line = strings.TrimSpace(line)
		if patch.red.MatchString(reason(line)) {
			return line[:min(len(line), lineLimit)], nil
		}
	}
	return "", fmt.Errorf("%w than %q: %s", errOtherFailure, patch.red, beginning(output))
}
