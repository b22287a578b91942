package main

import (
	"errors"
	"testing"
	"testing/fstest"
)

func TestCheckDeclared(t *testing.T) {
	const declaration = "func TestTwice(t *testing.T) {}\n"
	tree := fstest.MapFS{
		"a/a_test.go":    {Data: []byte("package a\n\nfunc TestOnce(t *testing.T) {}\n\n" + declaration)},
		"b/c/b_test.go":  {Data: []byte("package c\n\n" + declaration)},
		"b/c/program.go": {Data: []byte("package c\n\nfunc TestNot() {}\n")},
	}
	for function, want := range map[string]error{
		"TestOnce":    nil,
		"TestTwice":   declarationError{"TestTwice", 2},
		"TestNot":     declarationError{"TestNot", 0},
		"TestMissing": declarationError{"TestMissing", 0},
	} {
		if err := checkDeclared(tree, []knownRed{{pattern: "^" + function + "$"}}); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", function, err, want)
		}
	}
	if err := checkDeclared(tree, nil); err != nil {
		t.Error(err)
	}
}
