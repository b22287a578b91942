// Command broken proves that the tests can fail: it applies each patch of broken code to a copy of the
// tree, runs the test that the patch names, and wants it red for the reason that the patch names.
//
// With --check no test is run: each patch must still apply, build, and name a test that exists.
package main

import (
	"fmt"
	"os"
	"regexp"

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
