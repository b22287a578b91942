package features

import (
	"strings"
	"testing"

	"wardtray/verify/golden"
)

// The names of features in the setting without must not change.
func TestFeaturesKeepTheirNames(t *testing.T) {
	var lines strings.Builder
	for _, name := range All {
		lines.WriteString(string(name) + "\n")
	}
	golden.Compare(t, "names.txt", lines.String())
}
