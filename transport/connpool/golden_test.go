package connpool

import (
	"testing"

	"wardtray/verify/golden"
)

// Runners depend on the JSON keys of the identity document.
func TestIdentityKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "identity", golden.Marshal[Identity])
}
