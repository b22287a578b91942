package node

import (
	"testing"

	"wardtray/verify/golden"
)

// What operators read of a machine's state keeps its keys.
func TestOperatorsAnswersKeepTheirKeys(t *testing.T) {
	golden.CompareJSON(t, "status", golden.Marshal[Status])
	golden.CompareJSON(t, "counters", golden.Marshal[Counters])
}
