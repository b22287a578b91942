package features

import (
	"strings"
	"testing"

	"wardtray/verify/golden"
)

// The mechanisms keep the names by which the settings switch them off.
func TestMechanismsKeepTheirNames(t *testing.T) {
	var lines strings.Builder
	for _, name := range All {
		lines.WriteString(string(name) + "\n")
	}
	golden.Compare(t, "names.txt", lines.String())
}
