package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
)

// mutation is a patch that breaks the code, with the test that must detect it.
type mutation struct {
	// name is the file's name without its extension; file is the path of the patch.
	name, file string
	// rule describes which rule the broken code violates, and how.
	rule string
	// packageFolder is the folder of the test's package, and test the pattern of the test that must fail.
	packageFolder, test string
	// seeds is the value of WARDTRAY_SEEDS for the test.
	seeds string
	// failurePattern matches the reason for which the test must fail: a line of its output, without the position, that
	// doesn't only name the test.
	failurePattern *regexp.Regexp
	// changedFiles are the files that the patch changes or creates, relative to the root of the tree.
	changedFiles []string
}

// changedFile matches the line of a patch that names a changed file, and captures its path.
var changedFile = regexp.MustCompile(`(?m)^\+\+\+ b/(\S+)$`)

// readPatches reads every patch in a folder, sorted by name.
func readPatches(folder string) ([]mutation, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.patch"))
	if err != nil {
		return nil, fmt.Errorf("listing the patches in %s: %w", folder, err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: %w", folder, errNoPatches)
	}
	sort.Strings(files)
	patches := make([]mutation, 0, len(files))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		read, err := parsePatch(file, string(content))
		if err != nil {
			return nil, err
		}
		patches = append(patches, read)
	}
	return patches, nil
}

// parsePatch reads a patch's head, which ends with the first empty line, and the names of the files it changes.
func parsePatch(file, content string) (mutation, error) {
	head, body, _ := strings.Cut(content, "\n\n")
	fields := map[string]string{}
	for _, line := range strings.Split(head, "\n") {
		name, value, _ := strings.Cut(line, ": ")
		fields[name] = value
	}
	read := mutation{
		name:  strings.TrimSuffix(filepath.Base(file), ".patch"),
		file:  file,
		rule:  fields["Rule"],
		seeds: fields["Seeds"],
	}
	read.packageFolder, read.test, _ = strings.Cut(fields["Test"], " ")
	if read.rule == "" || read.test == "" || fields["Red"] == "" {
		return mutation{}, fmt.Errorf("%s: %w", file, errIncompleteHead)
	}
	failurePattern, err := regexp.Compile(fields["Red"])
	if err != nil {
		return mutation{}, fmt.Errorf("%s: Red: %w: %w", file, errBadPattern, err)
	}
	read.failurePattern = failurePattern
	for _, match := range changedFile.FindAllStringSubmatch(body, -1) {
		read.changedFiles = append(read.changedFiles, match[1])
	}
	if len(read.changedFiles) == 0 {
		return mutation{}, fmt.Errorf("%s: %w", file, errNoFiles)
	}
	return read, nil
}

// selectPatches returns the patches whose names match a pattern; nil matches all.
func selectPatches(patches []mutation, only *regexp.Regexp) []mutation {
	var selected []mutation
	for _, patch := range patches {
		if only == nil || only.MatchString(patch.name) {
			selected = append(selected, patch)
		}
	}
	return selected
}

// printRules prints the patches with the rules that they break.
func printRules(patches []mutation) {
	for _, patch := range patches {
		fmt.Printf("%-24s %s\n", patch.name, patch.rule)
	}
}
