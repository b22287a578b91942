package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// checkAll reports whether every patch still fits the tree; it prints those that don't.
func checkAll(patches []patch, jobs int) bool {
	folder, err := os.MkdirTemp("", "broken-tests-")
	if err != nil {
		exit(err)
	}
	defer removeAll(folder)
	checker := &checker{subtests: newSubtestFinder(folder, subtestTimeout)}
	var printing sync.Mutex
	fitting := forEach(patches, jobs, func(patch patch) bool {
		err := checker.check(patch)
		if err != nil {
			printing.Lock()
			fmt.Printf("STALE   %-24s %v\n", patch.name, err)
			printing.Unlock()
		}
		return err == nil
	})
	fmt.Printf("%d of %d pieces of broken code apply, build and name their test\n", fitting, len(patches))
	return fitting == len(patches)
}

// checker checks that patches still fit the tree, without running their tests to the end. It doesn't see whether a test
// still notices its patch, nor whether a pattern selects more, or fewer, tests than was meant, as long as it selects
// one.
type checker struct {
	subtests *subtestFinder
}

// check sees that a patch applies, that the packages it touches build with it, and that its test exists. The tree stays
// as it is: the patched files replace it by the build's overlay.
func (checker *checker) check(patch patch) error {
	if err := checker.checkTest(patch); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "broken-check-")
	if err != nil {
		return err
	}
	// A copy that stays behind in the temporary folder does no harm.
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
func (checker *checker) checkTest(patch patch) error {
	pattern, err := parseTestPattern(patch.test)
	if err != nil {
		return err
	}
	if err := pattern.findFunction(patch.folder); err != nil || !pattern.hasSubtests() {
		return err
	}
	return checker.subtests.find(patch.folder, pattern, patch.seeds)
}

// buildOverlaid builds the packages that a patch touches, with the patched files from a folder in place of the tree's.
func buildOverlaid(patch patch, folder string) error {
	replacements := map[string]string{}
	var packages []string
	for _, file := range patch.touched {
		absolute, err := filepath.Abs(file)
		if err != nil {
			return err
		}
		replacements[absolute] = filepath.Join(folder, file)
		packages = append(packages, "./"+filepath.Dir(file))
	}
	slices.Sort(packages)
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": replacements})
	if err != nil {
		return err
	}
	overlayFile := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(overlayFile, overlay, 0o644); err != nil {
		return err
	}
	arguments := append([]string{"build", "-overlay", overlayFile}, slices.Compact(packages)...)
	if output, err := run(".", nil, "go", arguments...); err != nil {
		return fmt.Errorf("%w: %s", errNotBuilding, shortened(output))
	}
	return nil
}
