package main

import (
	"slices"
	"testing"

	"wardtray/control/operator"
	"wardtray/dataplane/daemon"
)

func TestShowDaemons(t *testing.T) {
	fleet := operator.FleetStatus{Daemons: []daemon.Status{{Address: "d1", Zone: "z", Epoch: 3, View: 5, Serving: true,
		InFlight: 7, PartialView: []string{"d2", "d3"}, Uptime: "4s"}}}
	want := []string{"d1 z 3 5 true false 7 2 4s"}
	if rows := tableRows(t, showDaemons, fleet); !slices.Equal(rows, want) {
		t.Errorf("%q instead of %q", rows, want)
	}
}
