package features

import (
	"strings"
	"testing"

	"wardtray/verify/golden"
)

// The features keep the names by which the settings switch them off.
func TestFeaturesKeepTheirNames(t *testing.T) {
	var lines strings.Builder
	for _, name := range All {
		lines.WriteString(string(name) + "\n")
	}
	golden.Compare(t, "names.txt", lines.String())
}
