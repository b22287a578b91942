package fleet

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// Runs real processes for ten seconds, kills a runner, a data daemon and the head of the chain, and changes the
// configuration. Guards against failures that the simulation can't show, since it doesn't start processes. Only the
// rules that a slow machine can't violate are checked here; the simulation checks the others in simulated time.
func TestShortFleet(t *testing.T) {
	folder := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", folder, "wardtray/cmd/wtdata", "wardtray/cmd/wtcore")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	report := &strings.Builder{}
	clean, err := RunScenario(t.Context(), Deployments["guild"], Scenarios["default"],
		Options{Binaries: folder, Folder: t.TempDir(), Seconds: 10, Seed: 1, Rate: 30, Output: report, IgnoreTiming: true})
	if err != nil || !clean {
		t.Fatalf("%v\n%s", err, report)
	}
	t.Log(report)
}

// RunScenario removes only its own temporary folder, never one that the caller has given or wants to keep.
func TestWorkFolderIsRemovedUnlessItIsKept(t *testing.T) {
	given := t.TempDir()
	t.Setenv("TMPDIR", t.TempDir())
	for name, test := range map[string]struct {
		options Options
		remains bool
	}{
		"given":     {Options{Folder: given}, true},
		"temporary": {Options{}, false},
		"kept":      {Options{Keep: true}, true},
	} {
		folder, remove, err := test.options.workFolder()
		if err != nil {
			t.Fatal(err)
		}
		remove()
		if _, err := os.Stat(folder); errors.Is(err, os.ErrNotExist) == test.remains {
			t.Errorf("%s: %v", name, err)
		}
	}
}
