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
				t.Errorf("compareProposals of numbers %d and %d returns %d", left, right, got)
			}
		}
	}
}

// A new attempt proposes the value accepted under the greatest proposal number, since a majority may have chosen it.
// With another value two views of one epoch could be chosen.
func TestGreatestAcceptedValueIsProposedAgain(t *testing.T) {
	older, newer := &wire.View{Epoch: 2, Fleet: "older"}, &wire.View{Epoch: 2, Fleet: "newer"}
	attempt := &attempt{promises: map[string]*wire.ViewPromise{"a": {}}}
	if value := attempt.greatestAccepted(); value != nil {
		t.Fatalf("no promise contains a value, but %v is returned as accepted", value)
	}
	attempt.promises["b"] = &wire.ViewPromise{Accepted: &wire.ProposalNumber{Round: 1, Proposer: "z"}, Value: older}
	attempt.promises["c"] = &wire.ViewPromise{Accepted: &wire.ProposalNumber{Round: 2, Proposer: "y"}, Value: newer}
	if value := attempt.greatestAccepted(); value != newer {
		t.Fatalf("the greatest accepted value is %v, want %v", value, newer)
	}
}

// The time limit of an attempt doubles with each attempt up to a maximum. With a constant limit, founders with slow
// disks would never choose a view.
func TestAttemptsAreGivenMoreTime(t *testing.T) {
	cluster, founders := newFounders(func() {})
	agent := cluster.agents["k0"]
	for _, timeout := range []time.Duration{AttemptTimeout, 2 * AttemptTimeout, 4 * AttemptTimeout, 4 * AttemptTimeout} {
		agent.Bootstrap(cluster.now, &wire.View{Epoch: 1, Fleet: "f"}, founders)
		end := cluster.now.Add(timeout)
		if !agent.Busy(end.Add(-1)) || agent.Busy(end) {
			t.Fatalf("the attempt does not time out exactly %v after its start", timeout)
		}
	}
}
