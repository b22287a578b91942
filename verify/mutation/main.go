// Command mutation checks that the tests can fail: it applies each patch of broken code to a copy of the tree, runs the
// test that the patch names, and requires that the test fails for the reason that the patch states.
//
// With --check no test runs to its end: each patch must still apply, build, and name an existing test and subtest.
package main

import (
	"fmt"
	"os"
	"regexp"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// patchFolder is the folder of the patches, relative to the root of the tree.
	patchFolder = "verify/mutation"
	// programName is the name of the script at the root of the tree that runs this command.
	programName = "broken"
)

// Exit codes: exitFailed means that a patch failed its trial or check, exitError that the command could not run.
const (
	exitFailed = 1
	exitError  = 2
)

// options are the command's flags.
type options struct {
	// only selects patches by name; nil selects all.
	only *regexp.Regexp
	// jobs is the number of patches tried or checked concurrently.
	jobs        int
	list, check bool
}

func main() {
	succeeded, err := execute(parseOptions(os.Args[1:]))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(exitError)
	}
	if !succeeded {
		os.Exit(exitFailed)
	}
}

// execute lists, checks or tries the selected patches and reports whether all of them succeeded.
func execute(options options) (bool, error) {
	patches, err := readPatches(patchFolder)
	if err != nil {
		return false, err
	}
	patches = selectPatches(patches, options.only)
	if len(patches) == 0 || options.jobs < 1 {
		return false, errNothingToDo
	}
	switch {
	case options.list:
		printRules(patches)
		return true, nil
	case options.check:
		return checkAll(patches, options.jobs)
	default:
		return runTrials(patches, options.jobs), nil
	}
}

func parseOptions(arguments []string) options {
	application := kingpin.New(
		programName,
		"Applies each patch below verify/mutation to a copy of the tree "+
			"and requires that the named test fails for the stated reason.",
	)
	application.HelpFlag.Short('h')
	only := application.Flag("only", "Only patches whose name matches this pattern.").Regexp()
	jobs := application.Flag("jobs", "Number of patches tried or checked concurrently.").Default("3").Int()
	list := application.Flag("list", "Only list the patches.").Bool()
	check := application.Flag("check", "Run no tests to their end: only check that each patch applies, "+
		"builds and names an existing test and subtest.").
		Bool()
	kingpin.MustParse(application.Parse(arguments))
	return options{only: *only, jobs: *jobs, list: *list, check: *check}
}
