package main

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
	"testing/fstest"
)

func TestDescribe(t *testing.T) {
	if text := describe(nil); text != "known red, passed over: none\n" {
		t.Errorf("no test: %q", text)
	}
	text := describe([]knownRed{{pattern: "^TestA$", cause: "slow disk", issue: "17"}})
	if text != "known red, passed over: ^TestA$ (slow disk; issue 17)\n" {
		t.Errorf("one test: %q", text)
	}
}

// Only the pattern may go to the output, which ./check passes to go test -skip; the report goes to the other writer.
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

// For a list that is missing, malformed or stale, nothing is printed, so that no tests are skipped.
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
