package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// checkAll reports whether every patch still fits the tree; it prints those that don't.
func checkAll(patches []mutation, jobs int) (bool, error) {
	folder, err := os.MkdirTemp("", "broken-tests-")
	if err != nil {
		return false, err
	}
	defer removeAll(folder)
	checker := &checker{subtests: newSubtestFinder(folder, subtestTimeout)}
	fitting := judgeAll(patches, jobs, func(patch mutation) verdict {
		if err := checker.check(patch); err != nil {
			return verdict{line: labelled("STALE", patch, err.Error())}
		}
		return verdict{succeeded: true}
	})
	fmt.Printf("%d of %d pieces of broken code apply, build and name their test\n", fitting, len(patches))
	return fitting == len(patches), nil
}

// checker checks that patches still fit the tree, without running their tests to the end. It doesn't see whether a test
// still notices its patch, nor whether a pattern selects more, or fewer, tests than was meant, as long as it selects
// one.
type checker struct {
	subtests *subtestFinder
}

// check sees that a patch applies, that the packages it touches build with it, and that its test exists. The tree stays
// as it is: the patched files replace it by the build's overlay.
func (checker *checker) check(patch mutation) error {
	if err := checker.checkTest(patch); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "broken-check-")
	if err != nil {
		return err
	}
	defer removeAll(folder)
	for _, file := range patch.touched {
		// A file that the tree doesn't have may be one that the patch makes; applying it tells.
		if err := copyFile(file, filepath.Join(folder, file)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	if err := apply(patch, folder); err != nil {
		return err
	}
	return buildOverlaid(patch, folder)
}

// checkTest sees that the unpatched tree has a test function, and a subtest, that the patch's pattern selects.
func (checker *checker) checkTest(patch mutation) error {
	pattern, err := parseTestPattern(patch.test)
	if err != nil {
		return err
	}
	if err := pattern.findFunction(patch.packageFolder); err != nil || !pattern.hasSubtests() {
		return err
	}
	return checker.subtests.find(patch.packageFolder, pattern, patch.seeds)
}

// overlay is the file of go build's flag of that name: paths, and the files that replace them.
type overlay struct {
	Replace map[string]string
}

// buildOverlaid builds the packages that a patch touches, with the patched files from a folder in place of the tree's.
func buildOverlaid(patch mutation, folder string) error {
	patched := overlay{Replace: map[string]string{}}
	packages := make([]string, 0, len(patch.touched))
	for _, file := range patch.touched {
		absolute, err := filepath.Abs(file)
		if err != nil {
			return err
		}
		patched.Replace[absolute] = filepath.Join(folder, file)
		packages = append(packages, "./"+filepath.Dir(file))
	}
	slices.Sort(packages)
	content, err := json.Marshal(patched)
	if err != nil {
		return err
	}
	overlayFile := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(overlayFile, content, filePermissions); err != nil {
		return err
	}
	arguments := append([]string{"build", "-overlay", overlayFile}, slices.Compact(packages)...)
	if output, err := run(".", nil, "go", arguments...); err != nil {
		return fmt.Errorf("%w: %s", errNotBuilding, beginning(output))
	}
	return nil
}
