// Command mutation proves that the tests can fail: it applies each patch of broken code to a copy of the tree, runs the
// test that the patch names, and wants it red for the reason that the patch names.
//
// With --check no test is run to its end: each patch must still apply, build, and name a test, and a subtest, that
// exists.
package main

import (
	"fmt"
	"os"
	"regexp"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// patchFolder is where the patches lie, below the root of the tree.
	patchFolder = "verify/mutation"
	// programName is the name of the script at the root of the tree that runs this command.
	programName = "broken"
)

// Exit codes: the result is not as wanted, and nothing could be done.
const (
	exitFailed = 1
	exitError  = 2
)

// options are the command's flags.
type options struct {
	// only is nil for all patches.
	only *regexp.Regexp
	// jobs is how many patches are tried at once.
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

// execute does what the options say and reports whether the result is as wanted.
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
		return tryAll(patches, options.jobs), nil
	}
}

func parseOptions(arguments []string) options {
	application := kingpin.New(
		programName,
		"Applies each patch below verify/mutation to a copy of the tree "+
			"and wants the named test red for the named reason.",
	)
	application.HelpFlag.Short('h')
	only := application.Flag("only", "Only patches whose name matches this pattern.").Regexp()
	jobs := application.Flag("jobs", "How many at once.").Default("3").Int()
	list := application.Flag("list", "Only list the patches.").Bool()
	check := application.Flag("check", "Run no tests to their end: only see that each patch applies, "+
		"builds and names a test, and a subtest, that exists.").
		Bool()
	kingpin.MustParse(application.Parse(arguments))
	return options{only: *only, jobs: *jobs, list: *list, check: *check}
}
