package main

import (
	"slices"
	"testing"

	"wardtray/balancer/load"
	"wardtray/control/operator"
	"wardtray/dataplane/daemon"
)

func TestShowRunnersCombinesWhatDaemonsKnow(t *testing.T) {
	known := load.Runner{ID: "r", Address: "a:1", Zone: "z", Service: "s", State: "up", Slots: 4}
	near, far := known, known
	near.Usable, near.InFlight, near.Load = true, 2, 3
	far.Reason, far.InFlight, far.Load = "ejected", 1, 5
	fleet := operator.FleetStatus{Daemons: []daemon.Status{
		{Runners: []load.Runner{near}}, {Runners: []load.Runner{far}},
	}}
	want := []string{"r a:1 z s up 3 5 4 1 of 2 ejected"}
	if rows := tableRows(t, showRunners, fleet); !slices.Equal(rows, want) {
		t.Errorf("%q instead of %q", rows, want)
	}
}
