package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

var (
	// functionName matches the beginning of a pattern for go test -run that names a test or a fuzz test.
	functionName = regexp.MustCompile(`^\^?(?:Test|Fuzz)\w+`)
	// functionDeclaration matches the declaration of a test or a fuzz test and captures its name.
	functionDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w*)\(`)
)

// testPattern is the pattern of one test for go test -run, split at its slashes: the first element selects the test
// function, each further one the subtests one level below.
type testPattern []string

// parseTestPattern splits a pattern as go test does: slashes within brackets and parentheses do not separate elements.
// For two alternatives separated by a bar it returns errAmbiguousTest, because one of them could match no test without
// being noticed.
func parseTestPattern(text string) (testPattern, error) {
	pattern, bracketDepth, elementStart := testPattern{}, 0, 0
	for index := 0; index < len(text); index++ {
		switch character := text[index]; {
		case character == '\\':
			index++
		case strings.IndexByte("[(", character) >= 0:
			bracketDepth++
		case strings.IndexByte("])", character) >= 0:
			bracketDepth--
		case character == '/' && bracketDepth == 0:
			pattern = append(pattern, text[elementStart:index])
			elementStart = index + 1
		case character == '|' && bracketDepth == 0:
			return nil, fmt.Errorf("%w: %s", errAmbiguousTest, text)
		}
	}
	pattern = append(pattern, text[elementStart:])
	for _, element := range pattern {
		if _, err := regexp.Compile(element); err != nil {
			return nil, fmt.Errorf("%w: %w", errBadPattern, err)
		}
	}
	if !functionName.MatchString(pattern[0]) {
		return nil, fmt.Errorf("%w: %s", errNoFunctionNamed, text)
	}
	return pattern, nil
}

// hasSubtests reports whether the pattern selects subtests.
func (pattern testPattern) hasSubtests() bool { return len(pattern) > 1 }

// findFunction looks for a test function that the pattern selects in the test files of a package's folder.
func (pattern testPattern) findFunction(folder string) error {
	selected, err := regexp.Compile(pattern[0])
	if err != nil {
		return fmt.Errorf("%w: %w", errBadPattern, err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		return err
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		for _, declaration := range functionDeclaration.FindAllStringSubmatch(string(content), -1) {
			if selected.MatchString(declaration[1]) {
				return nil
			}
		}
	}
	return fmt.Errorf("%w %s in %s", errNoFunction, pattern[0], folder)
}
