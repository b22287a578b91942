package view

import (
	"testing"
	"time"

	"wardtray/wire"
)

func TestCompareProposals(t *testing.T) {
	number := func(round uint64, proposer string) *wire.ProposalNumber {
		return &wire.ProposalNumber{Round: round, Proposer: proposer}
	}
	ascending := []*wire.ProposalNumber{nil, number(0, "a"), number(1, "a"), number(1, "b"), number(2, "a")}
	for left := range ascending {
		for right := range ascending {
			got := compareProposals(ascending[left], ascending[right])
			if got < 0 != (left < right) || got > 0 != (left > right) {
				t.Errorf("comparing number %d with %d gives %d", left, right, got)
			}
		}
	}
}

// A value that a majority may have chosen is proposed again: the one accepted under the greatest number.
func TestGreatestAcceptedValueIsProposedAgain(t *testing.T) {
	older, newer := &wire.View{Epoch: 2, Fleet: "older"}, &wire.View{Epoch: 2, Fleet: "newer"}
	attempt := &attempt{promises: map[string]*wire.ViewPromise{"a": {}}}
	if value := attempt.greatestAccepted(); value != nil {
		t.Fatalf("no promise names a value, but %v counts as accepted", value)
	}
	attempt.promises["b"] = &wire.ViewPromise{Accepted: &wire.ProposalNumber{Round: 1, Proposer: "z"}, Value: older}
	attempt.promises["c"] = &wire.ViewPromise{Accepted: &wire.ProposalNumber{Round: 2, Proposer: "y"}, Value: newer}
	if value := attempt.greatestAccepted(); value != newer {
		t.Fatalf("the greatest accepted value is %v", value)
	}
}

// Each attempt may take twice as long as the one before, up to a bound.
func TestAttemptsAreGivenMoreTime(t *testing.T) {
	cluster, founders := newFounders(func() {})
	agent := cluster.agents["k0"]
	for _, timeout := range []time.Duration{AttemptTimeout, 2 * AttemptTimeout, 4 * AttemptTimeout, 4 * AttemptTimeout} {
		agent.Bootstrap(cluster.now, &wire.View{Epoch: 1, Fleet: "f"}, founders)
		end := cluster.now.Add(timeout)
		if !agent.Busy(end.Add(-1)) || agent.Busy(end) {
			t.Fatalf("an attempt does not end %v after its start", timeout)
		}
	}
}
