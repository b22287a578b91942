package main

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
	"testing/fstest"
)

func TestParseListOfAnEmptyList(t *testing.T) {
	for _, content := range []string{"", "\n", "# test | cause | issue\n", "# a comment\n\n  \n# another"} {
		tests, err := parseList(content)
		if err != nil || len(tests) != 0 || skipPattern(tests) != "" {
			t.Errorf("%q: %v, %v", content, tests, err)
		}
	}
}

func TestSkipPatternJoinsTheList(t *testing.T) {
	const list = "# head\n^TestA$/^forgotten,_booking$ | a seed | breaks: q1 | 11\n\n^TestB$ | slow disk | 17\n"
	tests, err := parseList(list)
	if err != nil {
		t.Fatal(err)
	}
	if pattern := skipPattern(tests); pattern != "^TestA$/^forgotten,_booking$|^TestB$" {
		t.Errorf("pattern %q", pattern)
	}
	if tests[0].cause != "a seed | breaks: q1" || tests[0].issue != "11" {
		t.Errorf("read %+v", tests[0])
	}
}

func TestParseListRejectsInvalidLines(t *testing.T) {
	for name, test := range map[string]struct {
		content string
		want    error
	}{
		"four lines":        {strings.Repeat("^TestA$ | cause | 1\n", maximumListed+1), errTooMany},
		"no cause":          {"^TestA$ | | 1", errFields},
		"no issue":          {"^TestA$ | cause |", errFields},
		"one field":         {"^TestA$", errFields},
		"two fields":        {"^TestA$ | cause", errFields},
		"every test":        {". | cause | 1", errNotOneTest},
		"a beginning":       {"^TestA | cause | 1", errNotOneTest},
		"any subtest":       {"^TestA$/ | cause | 1", errNotOneTest},
		"part of a subtest": {"^TestA$/part | cause | 1", errNotOneTest},
		"a pattern":         {"^TestA$/^.*$ | cause | 1", errNotOneTest},
		"any subtest of a":  {"^TestA$/^.+$ | cause | 1", errNotOneTest},
		"two tests":         {"^TestA$|^TestB$ | cause | 1", errNotOneTest},
	} {
		if tests, err := parseList(test.content); !errors.Is(err, test.want) {
			t.Errorf("%s: parsed as %+v, %v, want the error %v", name, tests, err, test.want)
		}
	}
}

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

func TestDescribe(t *testing.T) {
	if text := describe(nil); text != "known red, passed over: none\n" {
		t.Errorf("no test: %q", text)
	}
	text := describe([]knownRed{{pattern: "^TestA$", cause: "slow disk", issue: "17"}})
	if text != "known red, passed over: ^TestA$ (slow disk; issue 17)\n" {
		t.Errorf("one test: %q", text)
	}
}

// The pattern goes to one writer, for go test -skip, and the report to the other.
func TestRunPrintsThePatternAndTheReport(t *testing.T) {
	tree := fstest.MapFS{
		listFile:      {Data: []byte("^TestA$/^x$ | slow disk | 17\n")},
		"a/a_test.go": {Data: []byte("package a\n\nfunc TestA(t *testing.T) {}\n")},
	}
	var output, report strings.Builder
	if err := run(tree, &output, &report); err != nil {
		t.Fatal(err)
	}
	if output.String() != "^TestA$/^x$\n" {
		t.Errorf("output %q", output.String())
	}
	if report.String() != "known red, passed over: ^TestA$/^x$ (slow disk; issue 17)\n" {
		t.Errorf("report %q", report.String())
	}
}

// A list that is missing, malformed or stale prints nothing.
func TestRunRejectsTheList(t *testing.T) {
	for name, test := range map[string]struct {
		tree fstest.MapFS
		want error
	}{
		"missing":   {fstest.MapFS{}, fs.ErrNotExist},
		"malformed": {fstest.MapFS{listFile: {Data: []byte("^TestA$")}}, errFields},
		"stale":     {fstest.MapFS{listFile: {Data: []byte("^TestA$ | cause | 1")}}, declarationError{"TestA", 0}},
	} {
		var output, report strings.Builder
		if err := run(test.tree, &output, &report); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
		if output.Len()+report.Len() > 0 {
			t.Errorf("%s: printed %q and %q", name, output.String(), report.String())
		}
	}
}
