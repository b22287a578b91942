package award

import (
	"testing"

	"wardtray/proof/golden"
)

// What a data daemon's status tells of a desk keeps its keys.
func TestDeskStateKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "counters", golden.Marshal[DeskCounters])
	golden.CompareJSON(t, "prices", golden.Marshal[Prices])
}
