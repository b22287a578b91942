package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
)

// patch is one piece of broken code with what must notice it.
type patch struct {
	// name is the file's name without its ending; file is the path of the patch.
	name, file string
	// rule says which rule the code breaks, and how.
	rule string
	// test is the pattern of the test that must fail, in the package at folder.
	folder, test string
	// seeds is the value of WARDTRAY_SEEDS for the test.
	seeds string
	// red is the pattern of the line by which the test must fail.
	red *regexp.Regexp
	// touched are the files that the patch changes, relative to the root of the tree.
	touched []string
}

// touchedFile matches the line of a patch that names a file as it is after the patch.
var touchedFile = regexp.MustCompile(`(?m)^\+\+\+ b/(\S+)$`)

// readPatches reads every patch in a folder, sorted by name.
func readPatches(folder string) ([]patch, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.patch"))
	if err != nil {
		return nil, fmt.Errorf("listing the patches in %s: %w", folder, err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: %w", folder, errNoPatches)
	}
	sort.Strings(files)
	patches := make([]patch, 0, len(files))
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
func parsePatch(file, content string) (patch, error) {
	head, body, _ := strings.Cut(content, "\n\n")
	fields := map[string]string{}
	for _, line := range strings.Split(head, "\n") {
		name, value, _ := strings.Cut(line, ": ")
		fields[name] = value
	}
	read := patch{
		name:  strings.TrimSuffix(filepath.Base(file), ".patch"),
		file:  file,
		rule:  fields["Rule"],
		seeds: fields["Seeds"],
	}
	read.folder, read.test, _ = strings.Cut(fields["Test"], " ")
	if read.rule == "" || read.test == "" || fields["Red"] == "" {
		return patch{}, fmt.Errorf("%s: %w", file, errIncompleteHead)
	}
	red, err := regexp.Compile(fields["Red"])
	if err != nil {
		return patch{}, fmt.Errorf("%s: Red: %w: %w", file, errBadPattern, err)
	}
	read.red = red
	for _, match := range touchedFile.FindAllStringSubmatch(body, -1) {
		read.touched = append(read.touched, match[1])
	}
	if len(read.touched) == 0 {
		return patch{}, fmt.Errorf("%s: %w", file, errNoFiles)
	}
	return read, nil
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
