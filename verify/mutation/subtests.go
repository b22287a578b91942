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

// subtestTimeout is the maximum time that a test may take to start a subtest of a pattern.
const subtestTimeout = time.Minute

// startedTest matches the line by which a test binary reports that a test starts, and captures its full name.
var startedTest = regexp.MustCompile(`^=== RUN +(\S+)$`)

// subtestFinder looks for subtests in the unpatched tree. Only a running test determines their names, so the finder
// starts the test and kills it as soon as the first subtest of the pattern starts.
type subtestFinder struct {
	// folder receives the test binaries.
	folder  string
	timeout time.Duration

	// mutex protects binaries, which maps each package folder to a function that compiles the package's tests once.
	mutex    sync.Mutex
	binaries map[string]func() (string, error)
}

// newSubtestFinder returns a finder that compiles tests into a folder.
func newSubtestFinder(folder string, timeout time.Duration) *subtestFinder {
	return &subtestFinder{folder: folder, timeout: timeout, binaries: map[string]func() (string, error){}}
}

// find returns errNoSubtest if the pattern's test ends without starting a subtest of the pattern, and errSubtestTimeout
// if it starts none within the timeout. The test gets the seeds as in a trial.
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

// compileTests compiles the tests of a package of a tree into a binary at a path. It trims paths, so that copies of the
// tree share the build cache.
func compileTests(tree, packageFolder, path string) error {
	output, err := run(tree, nil, "go", "test", "-c", "-trimpath", "-o", path, packageFolder)
	if err != nil {
		return fmt.Errorf("%w: %s", errTestsNotBuilding, truncate(output))
	}
	return nil
}

// startsTest runs a test binary in a folder until a test starts whose name has at least the given number of elements,
// until the binary ends or until the context is cancelled. It reports whether such a test started, whether or not the
// test passes.
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
	// The exit status is irrelevant: the binary was killed, or its tests passed or failed.
	_ = command.Wait()
	return found, nil
}
