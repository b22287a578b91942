package main

import (
	"fmt"
	"io/fs"
	"path"
	"regexp"
	"strings"
)

// maximumListed is how many tests may be known to be red.
const maximumListed = 3

// separator stands between the fields of a line.
const separator = " | "

// knownRed is one line of the list.
type knownRed struct {
	// pattern is the test's name for go test -skip, each part of it anchored at both ends.
	pattern string
	cause   string
	issue   string
}

// wholeName matches a pattern that means just one test: anchored literal names, joined by slashes.
var wholeName = regexp.MustCompile(`^\^(Test\w+)\$(/\^([\w,#=:-]|\\[.+*()])+\$)*$`)

// parseList reads the list: a line for each test, "pattern | cause | issue". Empty lines and those that begin with # don't
// count.
func parseList(content string) ([]knownRed, error) {
	var listed []knownRed
	for number, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number+1, err)
		}
		listed = append(listed, test)
	}
	if len(listed) > maximumListed {
		return nil, fmt.Errorf("%d tests are listed, %d at most may be", len(listed), maximumListed)
	}
	return listed, nil
}

func parseLine(line string) (knownRed, error) {
	// The cause may hold the separator itself: the test is before the first, the issue after the last.
	pattern, rest, _ := strings.Cut(line, separator)
	end := strings.LastIndex(rest, separator)
	if end < 0 {
		return knownRed{}, fmt.Errorf("want test | cause | issue")
	}
	test := knownRed{
		pattern: strings.TrimSpace(pattern),
		cause:   strings.TrimSpace(rest[:end]),
		issue:   strings.TrimSpace(rest[end+len(separator):]),
	}
	if test.cause == "" || test.issue == "" {
		return knownRed{}, fmt.Errorf("want test | cause | issue")
	}
	if !wholeName.MatchString(test.pattern) {
		return knownRed{}, fmt.Errorf("%q does not mean one test; write ^TestName$ or ^TestName$/^subtest$", test.pattern)
	}
	return test, nil
}

// checkDeclared sees that each listed test is declared in just one package of a tree: go test -skip looks at names only
// and would pass over a namesake too.
func checkDeclared(tree fs.FS, listed []knownRed) error {
	if len(listed) == 0 {
		return nil
	}
	packages := map[string]map[string]bool{}
	err := fs.WalkDir(tree, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		content, err := fs.ReadFile(tree, name)
		for _, test := range listed {
			function := wholeName.FindStringSubmatch(test.pattern)[1]
			if strings.Contains(string(content), "\nfunc "+function+"(") {
				if packages[function] == nil {
					packages[function] = map[string]bool{}
				}
				packages[function][path.Dir(name)] = true
			}
		}
		return err
	})
	if err != nil {
		return err
	}
	for _, test := range listed {
		function := wholeName.FindStringSubmatch(test.pattern)[1]
		if count := len(packages[function]); count != 1 {
			return fmt.Errorf("%s is declared in %d packages, want 1", function, count)
		}
	}
	return nil
}

// skipPattern joins the patterns for go test -skip, which takes alternatives of whole paths.
func skipPattern(listed []knownRed) string {
	patterns := make([]string, len(listed))
	for place, test := range listed {
		patterns[place] = test.pattern
	}
	return strings.Join(patterns, "|")
}
