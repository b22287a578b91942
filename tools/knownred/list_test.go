package main

import (
	"strings"
	"testing"
	"testing/fstest"
)

func TestListOfNothing(t *testing.T) {
	for _, content := range []string{"", "\n", "# test | cause | issue\n", "# a comment\n\n  \n# another"} {
		listed, err := parseList(content)
		if err != nil || len(listed) != 0 || skipPattern(listed) != "" {
			t.Errorf("%q: %v, %v", content, listed, err)
		}
	}
}

func TestListGivesOnePattern(t *testing.T) {
	listed, err := parseList("# head\n^TestA$/^forgotten,_booking$ | a seed | breaks: q1 | 11\n\n^TestB$ | slow disk | 17\n")
	if err != nil {
		t.Fatal(err)
	}
	if pattern := skipPattern(listed); pattern != "^TestA$/^forgotten,_booking$|^TestB$" {
		t.Errorf("pattern %q", pattern)
	}
	if listed[0].cause != "a seed | breaks: q1" || listed[0].issue != "11" {
		t.Errorf("read %+v", listed[0])
	}
}

func TestListRefusesWhatIsNotOneTest(t *testing.T) {
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
		if listed, err := parseList(content); err == nil {
			t.Errorf("%s: taken as %+v", name, listed)
		}
	}
}

func TestListedTestsAreDeclaredOnce(t *testing.T) {
	tree := fstest.MapFS{
		"a/a_test.go":    {Data: []byte("package a\n\nfunc TestOnce(t *testing.T) {}\n\nfunc TestTwice(t *testing.T) {}\n")},
		"b/c/b_test.go":  {Data: []byte("package c\n\nfunc TestTwice(t *testing.T) {}\n")},
		"b/c/program.go": {Data: []byte("package c\n\nfunc TestNot() {}\n")},
	}
	for function, declared := range map[string]bool{"TestOnce": true, "TestTwice": false, "TestNot": false, "TestGone": false} {
		err := checkDeclared(tree, []knownRed{{pattern: "^" + function + "$"}})
		if (err == nil) != declared {
			t.Errorf("%s: %v", function, err)
		}
	}
	if err := checkDeclared(tree, nil); err != nil {
		t.Error(err)
	}
}
