package scheduler

import (
	"testing"

	"wardtray/verify/golden"
)

// What a data daemon's status tells of a scheduler keeps its keys.
func TestSchedulerStateKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "counters", golden.Marshal[Counters])
	golden.CompareJSON(t, "prices", golden.Marshal[CostWeights])
}

// What wtctl explain prints is made of these.
func TestExplainedKeys(t *testing.T) {
	golden.CompareJSON(t, "step", golden.Marshal[Decision])
	golden.CompareJSON(t, "quote", golden.Marshal[ScoredCandidate])
	golden.CompareJSON(t, "bid", golden.Marshal[Requirements])
}
