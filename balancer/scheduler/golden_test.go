package scheduler

import (
	"testing"

	"wardtray/verify/golden"
)

// The JSON keys of a scheduler in a data daemon's status must not change, since operators' tools read them.
func TestSchedulerStateKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "counters", golden.Marshal[Counters])
	golden.CompareJSON(t, "prices", golden.Marshal[CostWeights])
}

// The JSON keys that wtctl explain decodes must not change, or versions of the command and the daemon would not match.
func TestExplainedKeys(t *testing.T) {
	golden.CompareJSON(t, "step", golden.Marshal[Decision])
	golden.CompareJSON(t, "quote", golden.Marshal[ScoredCandidate])
	golden.CompareJSON(t, "bid", golden.Marshal[Requirements])
}
