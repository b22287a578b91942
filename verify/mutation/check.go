package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// checkAll reports whether every patch is still valid for the tree, and prints those that aren't.
func checkAll(patches []mutation, jobs int) (bool, error) {
	folder, err := os.MkdirTemp("", "broken-tests-")
	if err != nil {
		return false, err
	}
	defer removeAll(folder)
	checker := &checker{subtests: newSubtestFinder(folder, subtestTimeout)}
	succeeded := evaluateAll(patches, jobs, func(patch mutation) verdict {
		if err := checker.check(patch); err != nil {
			return verdict{line: resultLine("STALE", patch, err.Error())}
		}
		return verdict{succeeded: true}
	})
	fmt.Printf("%d of %d pieces of broken code apply, build and name their test\n", succeeded, len(patches))
	return succeeded == len(patches), nil
}

// checker checks that patches are still valid for the tree, without running their tests to the end. It doesn't check
// whether a test still detects its patch, nor whether a pattern that selects at least one test selects the intended
// ones.
type checker struct {
	subtests *subtestFinder
}

// check checks that a patch applies, that the packages it changes build with it, and that its test exists. It doesn't
// modify the tree: go build reads the patched files through an overlay.
func (checker *checker) check(patch mutation) error {
	if err := checker.checkTest(patch); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "broken-check-")
	if err != nil {
		return err
	}
	defer removeAll(folder)
	for _, file := range patch.changedFiles {
		// The patch may create a file that the tree doesn't have. If it doesn't create it, apply fails.
		if err := copyFile(file, filepath.Join(folder, file)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	if err := apply(patch, folder); err != nil {
		return err
	}
	return buildOverlaid(patch, folder)
}

// checkTest checks that the patch's pattern selects a test function of the unpatched tree, and a subtest if it has
// further elements.
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

// overlay is the content of the file for go build -overlay. Replace maps paths to the files that replace them.
type overlay struct {
	Replace map[string]string
}

// buildOverlaid builds the packages that a patch changes, with the patched files from a folder instead of the tree's.
func buildOverlaid(patch mutation, folder string) error {
	patched := overlay{Replace: map[string]string{}}
	packages := make([]string, 0, len(patch.changedFiles))
	for _, file := range patch.changedFiles {
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
		return fmt.Errorf("%w: %s", errNotBuilding, truncate(output))
	}
	return nil
}
