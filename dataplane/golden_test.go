package dataplane

import (
	"testing"

	"wardtray/verify/golden"
)

// The JSON keys of the platform's list of runners must not change.
func TestListKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "list-line", golden.Marshal[ListedRunner])
}
