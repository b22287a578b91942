package main

import (
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
	for name, content := range map[string]string{
		"four lines":        strings.Repeat("^TestA$ | cause | 1\n", maximumListed+1),
		"no cause":          "^TestA$ | | 1",
		"no issue":          "^TestA$ | cause |",
		"one field":         "^TestA$",
		"two fields":        "^TestA$ | cause",
		"every test":        ". | cause | 1",
		"a beginning":       "^TestA | cause | 1",
		"any subtest":       "^TestA$/ | cause | 1",
		"part of a subtest": "^TestA$/part | cause | 1",
		"a pattern":         "^TestA$/^.*$ | cause | 1",
		"any subtest of a":  "^TestA$/^.+$ | cause | 1",
		"two tests":         "^TestA$|^TestB$ | cause | 1",
	} {
		if tests, err := parseList(content); err == nil {
			t.Errorf("%s: parsed as %+v", name, tests)
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
	for function, declared := range map[string]bool{
		"TestOnce": true, "TestTwice": false, "TestNot": false, "TestMissing": false,
	} {
		err := checkDeclared(tree, []knownRed{{pattern: "^" + function + "$"}})
		if (err == nil) != declared {
			t.Errorf("%s: %v", function, err)
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
