// Command broken proves that the tests can fail: it applies each patch of broken code to a copy of the
// tree, runs the test that the patch names, and wants it red for the reason that the patch names.
//
// With --check no test is run: each patch must still apply, build, and name a test that exists.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"sync"

	"github.com/alecthomas/kingpin/v2"
)

// patchFolder is where the patches lie, below the root of the tree.
const patchFolder = "verify/mutation"

// options are the command's flags.
type options struct {
	only        *regexp.Regexp
	jobs        int
	list, check bool
}

func main() {
	chosen := parse(os.Args[1:])
	patches, err := readPatches(patchFolder)
	if err != nil {
		exit(err)
	}
	patches = matching(patches, chosen.only)
	if len(patches) == 0 || chosen.jobs < 1 {
		exit(errNothingToDo)
	}
	if chosen.list {
		list(patches)
		return
	}
	work := map[bool]func([]patch, int) bool{true: checkAll, false: tryAll}[chosen.check]
	if !work(patches, chosen.jobs) {
		os.Exit(1)
	}
}

func parse(arguments []string) options {
	application := kingpin.New(
		"broken",
		"Applies each patch below verify/mutation to a copy of the tree "+
			"and wants the named test red for the named reason.",
	)
	application.HelpFlag.Short('h')
	only := application.Flag("only", "Only patches whose name matches this pattern.").Regexp()
	jobs := application.Flag("jobs", "How many at once.").Default("3").Int()
	list := application.Flag("list", "Only list the patches.").Bool()
	check := application.Flag("check", "Run no tests: only see that each patch applies, "+
		"builds and names a test that exists.").
		Bool()
	kingpin.MustParse(application.Parse(arguments))
	return options{only: *only, jobs: *jobs, list: *list, check: *check}
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, "broken:", err)
	os.Exit(2)
}

func matching(patches []patch, only *regexp.Regexp) []patch {
	var chosen []patch
	for _, patch := range patches {
		if only == nil || only.MatchString(patch.name) {
			chosen = append(chosen, patch)
		}
	}
	return chosen
}

func list(patches []patch) {
	for _, patch := range patches {
		fmt.Printf("%-24s %s\n", patch.name, patch.rule)
	}
}

// forEach calls work for every patch, with at most jobs of them at once, and returns the number of calls that returned
// true.
func forEach(patches []patch, jobs int, work func(patch) bool) int {
	waiting := make(chan patch)
	var mutex sync.Mutex
	var workers sync.WaitGroup
	succeeded := 0
	for range jobs {
		workers.Go(func() {
			for patch := range waiting {
				if work(patch) {
					mutex.Lock()
					succeeded++
					mutex.Unlock()
				}
			}
		})
	}
	for _, patch := range patches {
		waiting <- patch
	}
	close(waiting)
	workers.Wait()
	return succeeded
}

// run returns a command's standard output and standard error together; environment is added to the process's own.
func run(folder string, environment []string, program string, arguments ...string) (string, error) {
	command := exec.CommandContext(context.Background(), program, arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), environment...)
	output, err := command.CombinedOutput()
	return string(output), err
}
