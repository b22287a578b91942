package main

import "errors"

// Errors of reading patches.
var (
	errNoPatches      = errors.New("no patches; start this from the root of the tree")
	errIncompleteHead = errors.New("the head must have Rule, Test and Red")
	errNoFiles        = errors.New("the patch changes no file")
	errBadPattern     = errors.New("not a valid regular expression")
)

// Errors of patches that are no longer valid for the tree.
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

// errNoTree is returned if git can't list the files of the tree.
var errNoTree = errors.New("git does not list the tree")

// Errors of trials in which the test did not detect the patch.
var (
	errTestPassed   = errors.New("the test stays green")
	errOtherFailure = errors.New("the test is red, but for another reason")
)

// errNothingToDo is returned if the flags select no patches or no workers.
var errNothingToDo = errors.New(
	"nothing to do: --only must match a name that --list prints, and --jobs must be at least 1")
