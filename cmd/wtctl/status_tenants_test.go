package main

import (
	"slices"
	"testing"

	"wardtray/control/operator"
	"wardtray/coordination/quota"
	"wardtray/dataplane/daemon"
)

// Each tenant has a row for the total and one for each daemon that reports it.
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
