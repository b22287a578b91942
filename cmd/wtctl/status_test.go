package main

import (
	"slices"
	"strings"
	"testing"

	"wardtray/balancer/load"
	"wardtray/control/node"
	"wardtray/control/operator"
	"wardtray/control/server"
	"wardtray/coordination/quota"
	"wardtray/dataplane/daemon"
	"wardtray/metrics"
)

// tableRows shows a part of a fleet and returns the rows below the heading, with single blanks between columns.
func tableRows(t *testing.T, show func(*table, operator.FleetStatus), fleet operator.FleetStatus) []string {
	t.Helper()
	var output strings.Builder
	table := newTable(&output)
	show(table, fleet)
	if err := table.flush(); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(output.String()), "\n")[1:]
	for i, row := range rows {
		rows[i] = strings.Join(strings.Fields(row), " ")
	}
	return rows
}

// Each tenant has a row for all daemons together and one for each daemon that knows it.
func TestShowTenants(t *testing.T) {
	fleet := operator.FleetStatus{Daemons: []daemon.Status{
		{Address: "d1", Tenants: map[string]quota.Usage{"a": {Used: 10, Refused: 2, Balance: 5, Demand: 3}}},
		{Address: "d2", Tenants: map[string]quota.Usage{"a": {Used: 1}, "b": {Refused: 7}}},
	}}
	want := []string{"a all 11 2 5 3", "a d1 10 2 5 3", "a d2 1 0 0 0", "b all 0 7 0 0", "b d2 0 7 0 0"}
	if rows := tableRows(t, showTenants, fleet); !slices.Equal(rows, want) {
		t.Errorf("%q instead of %q", rows, want)
	}
}

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

func TestShowCountersSumsOverDaemons(t *testing.T) {
	route := metrics.RouteMetrics{Requests: 3, Completed: 2, RejectedEarly: 1, CachedTokens: 1, PromptTokens: 4,
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

func TestWarningsAreDistinct(t *testing.T) {
	core := server.Status{Core: node.Status{Warnings: []string{"one disk is left", "a chain is short"}}}
	fleet := operator.FleetStatus{Cores: []server.Status{core, core}, Unreachable: []string{"a:1"}}
	want := []string{"a chain is short", "no answer from a:1", "one disk is left"}
	if got := warnings(fleet); !slices.Equal(got, want) {
		t.Errorf("%q instead of %q", got, want)
	}
}
