package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// seedsVariable is the environment variable by which the tests of the simulator get their number of seeds.
const seedsVariable = "WARDTRAY_SEEDS"

// trialTimeout is how long the test of a patch may take.
const trialTimeout = 20 * time.Minute

// tryAll runs each patch's test on a patched copy of the tree and reports whether every one was noticed.
func tryAll(patches []patch, jobs int) bool {
	var printing sync.Mutex
	noticed := forEach(patches, jobs, func(patch patch) bool {
		line, err := try(patch)
		printing.Lock()
		defer printing.Unlock()
		if err != nil {
			fmt.Printf("MISSED  %-24s %v\n", patch.name, err)
			return false
		}
		fmt.Printf("noticed %-24s %s\n", patch.name, line)
		return true
	})
	fmt.Printf("%d of %d pieces of broken code noticed\n", noticed, len(patches))
	return noticed == len(patches)
}

// try returns the line by which the test noticed a patch.
func try(patch patch) (string, error) {
	folder, err := os.MkdirTemp("", "broken-")
	if err != nil {
		return "", err
	}
	// A copy that stays behind in the temporary folder does no harm.
	defer removeAll(folder)
	if err := copyTree(folder); err != nil {
		return "", err
	}
	if err := apply(patch, folder); err != nil {
		return "", err
	}
	if output, err := run(folder, nil, "go", "build", "-trimpath", "./..."); err != nil {
		return "", fmt.Errorf("%w: %s", errNotBuilding, shortened(output))
	}
	binary := filepath.Join(folder, "trial.test")
	if err := compileTests(folder, patch.folder, binary); err != nil {
		return "", err
	}
	output, err := run(filepath.Join(folder, patch.folder), []string{seedsVariable + "=" + patch.seeds}, binary,
		"-test.paniconexit0", "-test.timeout", trialTimeout.String(), "-test.run", patch.test)
	if err == nil {
		return "", fmt.Errorf("%w: %s", errStaysGreen, patch.test)
	}
	for _, line := range strings.Split(output, "\n") {
		if patch.red.MatchString(line) {
			return strings.TrimSpace(line[:min(len(line), 200)]), nil
		}
	}
	return "", fmt.Errorf("%w than %q: %s", errOtherFailure, patch.red, shortened(output))
}
