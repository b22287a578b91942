package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// maximumListed is the maximum number of listed tests.
const maximumListed = 3

// separator separates the fields of a line.
const separator = " | "

// The errors of an invalid list.
var (
	// errFields reports a line that lacks a field.
	errFields = errors.New("want test | cause | issue")
	// errTooMany reports a list of more than maximumListed tests.
	errTooMany = fmt.Errorf("more than %d tests are listed", maximumListed)
	// errNotOneTest reports a pattern that may match more than one test.
	errNotOneTest = errors.New("does not name exactly one test; write ^TestName$ or ^TestName$/^subtest$")
)

// knownRed is a test that is known to fail: one line of the list.
type knownRed struct {
	// pattern is the test's name as a pattern for go test -skip, with each element anchored at both ends.
	pattern string
	// cause is the reason for the failure as far as it is known, and issue the number of its open issue.
	cause string
	issue string
}

// singleTest matches a pattern that names exactly one test: anchored literal names, joined by slashes.
var singleTest = regexp.MustCompile(`^\^(Test\w+)\$(/\^([\w,#=:-]|\\[.+*()])+\$)*$`)

// function returns the name of the test function.
func (test knownRed) function() string { return singleTest.FindStringSubmatch(test.pattern)[1] }

// parseList parses the list: a line for each test, "pattern | cause | issue". Empty lines and comments, which begin
// with '#', are skipped.
func parseList(content string) ([]knownRed, error) {
	var tests []knownRed
	for i, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		tests = append(tests, test)
	}
	if len(tests) > maximumListed {
		return nil, errTooMany
	}
	return tests, nil
}

// parseLine parses one line of the list.
func parseLine(line string) (knownRed, error) {
	// The cause may contain the separator: the test ends at the first one, and the issue begins after the last one.
	pattern, rest, _ := strings.Cut(line, separator)
	end := strings.LastIndex(rest, separator)
	if end < 0 {
		return knownRed{}, errFields
	}
	test := knownRed{
		pattern: strings.TrimSpace(pattern),
		cause:   strings.TrimSpace(rest[:end]),
		issue:   strings.TrimSpace(rest[end+len(separator):]),
	}
	if test.cause == "" || test.issue == "" {
		return knownRed{}, errFields
	}
	if !singleTest.MatchString(test.pattern) {
		return knownRed{}, fmt.Errorf("%q %w", test.pattern, errNotOneTest)
	}
	return test, nil
}

// skipPattern joins the patterns with "|" for go test -skip, which splits its value there before it splits at slashes.
func skipPattern(tests []knownRed) string {
	patterns := make([]string, len(tests))
	for i, test := range tests {
		patterns[i] = test.pattern
	}
	return strings.Join(patterns, "|")
}
