package main

import (
	"fmt"
	"io/fs"
	"path"
	"strings"
)

// declarationError reports a test that is not declared in exactly one package.
type declarationError struct {
	// function is the name of the test function, and packages the number of packages that declare it.
	function string
	packages int
}

// Error names the test and how many packages declare it.
func (err declarationError) Error() string {
	return fmt.Sprintf("%s is declared in %d packages, want 1", err.function, err.packages)
}

// checkDeclared returns a declarationError for a test that is not declared in exactly one package of a tree: go test
// -skip compares names only and would also skip a test of the same name in another package.
func checkDeclared(tree fs.FS, tests []knownRed) error {
	if len(tests) == 0 {
		return nil
	}
	declarations, err := findDeclarations(tree, tests)
	if err != nil {
		return err
	}
	for _, test := range tests {
		if count := len(declarations[test.function()]); count != 1 {
			return declarationError{function: test.function(), packages: count}
		}
	}
	return nil
}

// packageSet is a set of packages by their paths.
type packageSet map[string]bool

// findDeclarations returns the packages that declare each test function, by the function's name.
func findDeclarations(tree fs.FS, tests []knownRed) (map[string]packageSet, error) {
	declarations := map[string]packageSet{}
	for _, test := range tests {
		declarations[test.function()] = packageSet{}
	}
	err := fs.WalkDir(tree, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		content, err := fs.ReadFile(tree, name)
		if err != nil {
			return err
		}
		for function, packages := range declarations {
			if strings.Contains(string(content), "\nfunc "+function+"(") {
				packages[path.Dir(name)] = true
			}
		}
		return nil
	})
	return declarations, err
}
