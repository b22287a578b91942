package main

import "errors"

// Why a patch cannot be read.
var (
	errNoPatches      = errors.New("no patches; start this from the root of the tree")
	errIncompleteHead = errors.New("the head wants Rule, Test and Red")
	errNoFiles        = errors.New("the patch changes no file")
	errBadPattern     = errors.New("not a pattern")
)

// Why a patch no longer fits the tree.
var (
	errNotApplying      = errors.New("the patch no longer applies")
	errNotBuilding      = errors.New("the patched tree does not build")
	errNoFunctionNamed  = errors.New("the pattern names no test function")
	errAmbiguousTest    = errors.New("the pattern names more than one test")
	errNoFunction       = errors.New("no test function")
	errTestsNotBuilding = errors.New("the tests do not build")
	errNoSubtest        = errors.New("the test has no subtest of the pattern")
	errSubtestTimeout   = errors.New("the test started no subtest of the pattern in time")
)

// errNoTree is returned where git does not list the files of the tree.
var errNoTree = errors.New("git does not list the tree")

// Why a trial did not notice a patch.
var (
	errStaysGreen   = errors.New("the test stays green")
	errOtherFailure = errors.New("the test is red, but for another reason")
)

// errNothingToDo is returned for flags that choose no patches or no workers.
var errNothingToDo = errors.New(
	"nothing to do: give --only a pattern of names that --list shows, and --jobs of at least 1")
