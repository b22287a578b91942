package main

import (
	"slices"
	"testing"

	"wardtray/control/node"
	"wardtray/control/operator"
	"wardtray/control/server"
)

// Control machines may know different views; each row prints the view of its own machine.
func TestShowView(t *testing.T) {
	chain := []node.MemberStatus{{Address: "c1"}, {Address: "c2"}}
	fleet := operator.FleetStatus{ControlNodes: []server.Status{
		{Address: "c1", Core: node.Status{View: 5, Fleet: "f", Chain: chain, Acceptors: chain[:1]}},
		{Address: "c2", Core: node.Status{View: 4, Fleet: "f", Chain: chain[1:], Acceptors: chain[:1]}},
	}}
	want := []string{"c1 5 f c1 c2 c1", "c2 4 f c2 c1"}
	if rows := tableRows(t, showView, fleet); !slices.Equal(rows, want) {
		t.Errorf("%q instead of %q", rows, want)
	}
}
