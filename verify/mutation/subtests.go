package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// subtestTimeout is how long a test may take to start a subtest of a pattern.
const subtestTimeout = time.Minute

// startedTest matches the line by which a test binary reports that a test starts, and captures its full name.
var startedTest = regexp.MustCompile(`^=== RUN +(\S+)$`)

// subtestFinder looks for subtests in the unpatched tree. Their names are known to a running test only, so it starts
// the test and ends it as soon as the first subtest of the pattern starts.
type subtestFinder struct {
	// folder is where the test binaries are written.
	folder  string
	timeout time.Duration

	// mutex protects binaries, which has a function for each package that compiles its tests once.
	mutex    sync.Mutex
	binaries map[string]func() (string, error)
}

// newSubtestFinder returns a finder that compiles tests into a folder.
func newSubtestFinder(folder string, timeout time.Duration) *subtestFinder {
	return &subtestFinder{folder: folder, timeout: timeout, binaries: map[string]func() (string, error){}}
}

// find returns errNoSubtest if the pattern's test ends without a subtest of the pattern, and errSubtestTimeout if it
// starts none in time. The seeds are passed on as in a trial.
func (finder *subtestFinder) find(packageFolder string, pattern testPattern, seeds string) error {
	binary, err := finder.binary(packageFolder)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), finder.timeout)
	defer cancel()
	text := strings.Join(pattern, "/")
	found, err := startsTest(ctx, packageFolder, seeds, len(pattern), binary, "-test.v", "-test.run", text)
	switch {
	case err != nil:
		return err
	case found:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fmt.Errorf("%w: %s within %v", errSubtestTimeout, text, finder.timeout)
	default:
		return fmt.Errorf("%w: %s", errNoSubtest, text)
	}
}

// binary returns the path of the compiled tests of a package.
func (finder *subtestFinder) binary(packageFolder string) (string, error) {
	finder.mutex.Lock()
	compile, known := finder.binaries[packageFolder]
	if !known {
		path := filepath.Join(finder.folder, fmt.Sprintf("%d.test", len(finder.binaries)))
		compile = sync.OnceValues(func() (string, error) { return path, compileTests(".", packageFolder, path) })
		finder.binaries[packageFolder] = compile
	}
	finder.mutex.Unlock()
	return compile()
}

// compileTests writes the test binary of a package of a tree to a path. Paths are trimmed, so that copies of the tree
// share what the build cache holds.
func compileTests(tree, packageFolder, path string) error {
	output, err := run(tree, nil, "go", "test", "-c", "-trimpath", "-o", path, packageFolder)
	if err != nil {
		return fmt.Errorf("%w: %s", errTestsNotBuilding, beginning(output))
	}
	return nil
}

// startsTest runs a test binary in a folder until a test starts whose name has so many elements, or until it ends or
// the context does; it reports whether such a test started. How the test itself ends does not matter.
func startsTest(
	ctx context.Context, folder, seeds string, elements int, binary string, arguments ...string,
) (bool, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	command := exec.CommandContext(ctx, binary, arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), seedsVariable+"="+seeds)
	output, err := command.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := command.Start(); err != nil {
		return false, err
	}
	found := false
	for lines := bufio.NewScanner(output); !found && lines.Scan(); {
		started := startedTest.FindStringSubmatch(lines.Text())
		found = started != nil && strings.Count(started[1], "/") >= elements-1
	}
	stop()
	// It was killed, or its tests passed or failed: none of these says more than the lines above.
	_ = command.Wait()
	return found, nil
}
