package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleHead = "Rule: a rule\nTest: ./code TestCode/^part\nSeeds: 1\nRed: broken:\n\n"

// sampleDiff changes the line that returns 1.
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

// sampleTree makes a module with one package and its test, and makes it the working directory.
func sampleTree(t *testing.T) {
	t.Helper()
	t.Chdir(t.TempDir())
	t.Setenv("GOWORK", "off")
	for name, content := range map[string]string{
		"go.mod":            "module sample\n\ngo 1.26\n",
		"code/code.go":      "package code\n\nfunc one() int {\n\treturn 1\n}\n",
		"code/code_test.go": "package code\n\nimport \"testing\"\n\nfunc TestCode(t *testing.T) { _ = one() }\n",
	} {
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// samplePatch writes and reads a patch.
func samplePatch(t *testing.T, content string) patch {
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

func TestCheckFindsStalePatches(t *testing.T) {
	cases := []struct{ name, content, finding string }{
		{"fits", sampleHead + strings.ReplaceAll(sampleDiff, "RESULT", "2"), ""},
		{"does not apply", sampleHead + strings.ReplaceAll(sampleDiff, "return 1", "return 3"), "no longer applies"},
		{"file is gone", sampleHead + strings.ReplaceAll(sampleDiff, "code.go", "gone.go"), "no longer applies"},
		{"does not build", sampleHead + strings.ReplaceAll(sampleDiff, "RESULT", "unknown"), "do not build"},
		{
			"test is gone",
			strings.ReplaceAll(sampleHead, "TestCode", "TestGone") + sampleDiff,
			"no test function TestGone",
		},
		{
			"names no test",
			strings.ReplaceAll(sampleHead, "TestCode", "everything") + sampleDiff,
			"names no test function",
		},
	}
	for _, tried := range cases {
		t.Run(tried.name, func(t *testing.T) {
			sampleTree(t)
			err := check(samplePatch(t, tried.content))
			if tried.finding == "" && err != nil {
				t.Fatal(err)
			}
			if tried.finding != "" && (err == nil || !strings.Contains(err.Error(), tried.finding)) {
				t.Fatalf("wanted %q, got %v", tried.finding, err)
			}
			content, err := os.ReadFile("code/code.go")
			if err != nil || !strings.Contains(string(content), "return 1") {
				t.Fatalf("the tree was changed: %q, %v", content, err)
			}
		})
	}
}

func TestPatchesWantAWholeHead(t *testing.T) {
	for _, content := range []string{
		strings.ReplaceAll(sampleHead, "Rule: a rule\n", "") + sampleDiff,
		strings.ReplaceAll(sampleHead, "Test: ./code TestCode/^part\n", "") + sampleDiff,
		strings.ReplaceAll(sampleHead, "Red: broken:\n", "") + sampleDiff,
		strings.ReplaceAll(sampleHead, "Red: broken:", "Red: (") + sampleDiff,
		sampleHead,
	} {
		if read, err := parsePatch("sample.patch", content); err == nil {
			t.Errorf("taken as %+v: %q", read, content)
		}
	}
}
