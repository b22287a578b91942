package main

import (
	"errors"
	"strings"
	"testing"
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
