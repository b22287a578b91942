package main

import (
	"slices"
	"testing"

	"wardtray/control/node"
	"wardtray/control/operator"
	"wardtray/control/server"
)

func TestShowChain(t *testing.T) {
	fleet := operator.FleetStatus{ControlNodes: []server.Status{
		{Address: "c1", Zone: "z", Core: node.Status{ID: "one", Position: "head", Synced: 9, Committed: 8, Epoch: 3,
			HoldsLease: true}},
		{Address: "c2", Zone: "y", Core: node.Status{ID: "two", Position: "outside", Unhealthy: true}},
	}}
	want := []string{"c1 z head 9 8 3 true false one", "c2 y outside 0 0 0 false true two"}
	if rows := tableRows(t, showChain, fleet); !slices.Equal(rows, want) {
		t.Errorf("%q instead of %q", rows, want)
	}
}
