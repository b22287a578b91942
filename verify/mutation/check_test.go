package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const sampleHead = "Rule: a rule\nTest: ./code TestCode/^part\nSeeds: 1\nRed: broken:\n\n"

// sampleDiff changes the line that returns 1. Tests replace RESULT.
const sampleDiff = `diff --git a/code/code.go b/code/code.go
--- a/code/code.go
+++ b/code/code.go
@@ -1,5 +1,5 @@
 package code
 
 func one() int {
-	return 1
+	return RESULT
 }
`

// shortTimeout is the subtest timeout for a test that starts its subtest too late.
const shortTimeout = 200 * time.Millisecond

// sampleTest has tests that pass or fail quickly, and tests and subtests of an hour, whose end a check must not await.
const sampleTest = `package code

import (
	"testing"
	"time"
)

func TestCode(t *testing.T) {
	for _, name := range []string{"part one", "part/two"} {
		t.Run(name, func(t *testing.T) { time.Sleep(time.Hour) })
	}
}

func TestCodeAlone(t *testing.T) {
	if got := one(); got != 1 {
		t.Errorf("broken: %d", got)
	}
}

func TestLate(t *testing.T) {
	time.Sleep(time.Hour)
	t.Run("part", func(t *testing.T) {})
}
`

// sampleTree creates a module with one package and its test, and changes the working directory to it.
func sampleTree(t *testing.T) {
	t.Helper()
	t.Chdir(t.TempDir())
	t.Setenv("GOWORK", "off")
	for name, content := range map[string]string{
		"go.mod":            "module sample\n\ngo 1.26\n",
		"code/code.go":      "package code\n\nfunc one() int {\n\treturn 1\n}\n",
		"code/code_test.go": sampleTest,
	} {
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// samplePatch writes a patch to the working directory and reads it.
func samplePatch(t *testing.T, content string) mutation {
	t.Helper()
	if err := os.WriteFile("sample.patch", []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	patches, err := readPatches(".")
	if err != nil {
		t.Fatal(err)
	}
	return patches[0]
}

// A patch is stale if the code around it has changed so that it no longer applies or builds. The check must not change
// the tree while it finds that out.
func TestCheckFindsStalePatches(t *testing.T) {
	cases := []struct {
		name, content string
		finding       error
	}{
		{"fits", sampleHead + strings.ReplaceAll(sampleDiff, "RESULT", "2"), nil},
		{"does not apply", sampleHead + strings.ReplaceAll(sampleDiff, "return 1", "return 3"), errNotApplying},
		{"file is gone", sampleHead + strings.ReplaceAll(sampleDiff, "code.go", "gone.go"), errNotApplying},
		{"does not build", sampleHead + strings.ReplaceAll(sampleDiff, "RESULT", "unknown"), errNotBuilding},
	}
	for _, tried := range cases {
		t.Run(tried.name, func(t *testing.T) {
			sampleTree(t)
			checker := &checker{subtests: newSubtestFinder(t.TempDir(), subtestTimeout)}
			if err := checker.check(samplePatch(t, tried.content)); !errors.Is(err, tried.finding) {
				t.Fatalf("wanted %v, got %v", tried.finding, err)
			}
			content, err := os.ReadFile("code/code.go")
			if err != nil || !strings.Contains(string(content), "return 1") {
				t.Fatalf("the tree was changed: %q, %v", content, err)
			}
		})
	}
}

// A pattern that selects no test makes go test pass, so a renamed test would go unnoticed until the patch is tried.
func TestCheckFindsMissingTests(t *testing.T) {
	cases := []struct {
		name, pattern string
		finding       error
	}{
		{"beginnings of names", "TestCode/^part", nil},
		{"complete names", "TestCode$/^part_one$", nil},
		{"pattern has a space", "TestCode$/^part one$", nil},
		{"subtest of a subtest", "TestCode$/^part$/^two$", nil},
		{"function without subtests", "TestCodeAlone$", nil},
		{"one of two functions", "TestCode(Alone|Twice)$", nil},
		{"function is gone", "TestGone/^part", errNoFunction},
		{"function with a longer name", "TestCod$", errNoFunction},
		{"no function", "everything/^part", errNoFunctionNamed},
		{"subtest is gone", "TestCode$/^part_three", errNoSubtest},
		{"subtest of a subtest is gone", "TestCode$/^part$/^three", errNoSubtest},
		{"subtest of a function without any", "TestCodeAlone$/^part", errNoSubtest},
		{"not a pattern", "TestCode$/(", errBadPattern},
		{"one of two patterns", "TestCode$/^gone|TestCodeAlone$", errAmbiguousTest},
		{"no subtest in time", "TestLate$/^part", errSubtestTimeout},
	}
	sampleTree(t)
	subtests := newSubtestFinder(t.TempDir(), subtestTimeout)
	for _, tried := range cases {
		t.Run(tried.name, func(t *testing.T) {
			subtests.timeout = subtestTimeout
			if errors.Is(tried.finding, errSubtestTimeout) {
				subtests.timeout = shortTimeout
			}
			head := strings.ReplaceAll(sampleHead, "TestCode/^part", tried.pattern)
			patch := samplePatch(t, head+strings.ReplaceAll(sampleDiff, "RESULT", "2"))
			checker := &checker{subtests: subtests}
			if err := checker.check(patch); !errors.Is(err, tried.finding) {
				t.Fatalf("wanted %v, got %v", tried.finding, err)
			}
		})
	}
}

// A head without a rule, test or failure pattern is an error: an empty failure pattern would match any failure.
func TestPatchesNeedACompleteHead(t *testing.T) {
	for _, tried := range []struct {
		content string
		finding error
	}{
		{sampleHead + sampleDiff, nil},
		{strings.ReplaceAll(sampleHead, "Rule: a rule\n", "") + sampleDiff, errIncompleteHead},
		{strings.ReplaceAll(sampleHead, "Test: ./code TestCode/^part\n", "") + sampleDiff, errIncompleteHead},
		{strings.ReplaceAll(sampleHead, "Red: broken:\n", "") + sampleDiff, errIncompleteHead},
		{strings.ReplaceAll(sampleHead, "Red: broken:", "Red: (") + sampleDiff, errBadPattern},
		{sampleHead, errNoFiles},
	} {
		if read, err := parsePatch("sample.patch", tried.content); !errors.Is(err, tried.finding) {
			t.Errorf("wanted %v, got %v, %+v: %q", tried.finding, err, read, tried.content)
		}
	}
}
