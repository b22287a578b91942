package dataplane

import (
	"testing"

	"wardtray/verify/golden"
)

// The platform's list of runners keeps its keys.
func TestListKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "list-line", golden.Marshal[ListedRunner])
}
