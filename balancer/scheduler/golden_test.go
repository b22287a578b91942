package scheduler

import (
	"testing"

	"wardtray/verify/golden"
)

// What a data daemon's status tells of a desk keeps its keys.
func TestDeskStateKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "counters", golden.Marshal[DeskCounters])
	golden.CompareJSON(t, "prices", golden.Marshal[Prices])
}

// What wtctl explain prints is made of these.
func TestExplainedKeys(t *testing.T) {
	golden.CompareJSON(t, "step", golden.Marshal[Step])
	golden.CompareJSON(t, "quote", golden.Marshal[Quote])
	golden.CompareJSON(t, "bid", golden.Marshal[Bid])
}
