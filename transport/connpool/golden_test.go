package connpool

import (
	"testing"

	"wardtray/verify/golden"
)

// What a runner says it is keeps its keys.
func TestIdentityKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "identity", golden.Marshal[Identity])
}
