package fleet

import (
	"os/exec"
	"strings"
	"testing"
)

// A short fleet of real processes: a runner, a daemon and the head are killed and the spec changes. It is
// judged by the rules that no slow machine can break; the others are judged in simulated time.
func TestShortFleet(test *testing.T) {
	folder := test.TempDir()
	build := exec.Command("go", "build", "-o", folder, "wardtray/cmd/wtdata", "wardtray/cmd/wtcore")
	if output, failure := build.CombinedOutput(); failure != nil {
		test.Fatalf("%v: %s", failure, output)
	}
	told := &strings.Builder{}
	clean, failure := Prove(Shapes["guild"], Scenarios["default"], Options{Binaries: folder, Folder: test.TempDir(), Seconds: 10, Seed: 1, Rate: 30, Output: told, Timeless: true})
	if failure != nil || !clean {
		test.Fatalf("%v\n%s", failure, told)
	}
	test.Log(told)
}
