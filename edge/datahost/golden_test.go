package datahost

import (
	"testing"

	"wardtray/proof/golden"
)

// What operators read of a data daemon keeps its keys.
func TestStatusKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "status", golden.Marshal[Status])
}
