package node

import (
	"testing"

	"wardtray/verify/golden"
)

// Guards against changed JSON keys in the status and the counters, which operators' tools read.
func TestOperatorResponsesKeepTheirKeys(t *testing.T) {
	golden.CompareJSON(t, "status", golden.Marshal[Status])
	golden.CompareJSON(t, "counters", golden.Marshal[Counters])
}
