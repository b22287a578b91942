package main

import (
	"slices"
	"testing"

	"wardtray/control/operator"
	"wardtray/dataplane/daemon"
	"wardtray/metrics"
)

func TestShowCountersSumsOverDaemons(t *testing.T) {
	route := metrics.RouteMetrics{Requests: 3, Completed: 2, RefusedEarly: 1, CachedTokens: 1, PromptTokens: 4,
		Outcomes: map[string]uint64{"done": 2}}
	fleet := operator.FleetStatus{Daemons: []daemon.Status{
		{Address: "d1", Routes: map[string]metrics.RouteMetrics{"chat": route}},
		{Address: "d2", Routes: map[string]metrics.RouteMetrics{"chat": route}, Wire: map[string]any{"sent": 7}},
	}}
	rows := tableRows(t, showCounters, fleet)
	want := []string{"chat 6 4 2 0 0 25% 0 map[done:4]", rows[1],
		"d1 <nil> <nil> <nil> <nil> <nil>", "d2 7 <nil> <nil> <nil> <nil>"}
	if !slices.Equal(rows, want) {
		t.Errorf("%q instead of %q", rows, want)
	}
}
