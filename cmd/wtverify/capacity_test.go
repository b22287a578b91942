package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/scheduler"
	"wardtray/control/daemonlease"
	"wardtray/coordination/chain"
	"wardtray/coordination/gossip"
	"wardtray/coordination/registry"
	"wardtray/coordination/reservation"
	"wardtray/proxy/dedup"
)

// Guards against a capacity page that states the old value of a constant after the constant was changed.
func TestCapacityPageNamesTheBounds(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	bounds := map[string]int{
		"daemons that one head grants leases to, daemons":                           daemonlease.MaximumDaemons,
		"runners in a table, runners":                                               registry.MaximumRunners,
		"prefixes in an index, keys":                                                kvblock.DefaultKeys,
		"operations whose outcome is remembered for a day, operations":              chain.MaximumOutcomes,
		"entries of a gossip store, entries":                                        gossip.MaximumEntries,
		"reservations that a replica holds, reservations":                           reservation.MaximumReservations,
		"requests that run at most once remembered by their daemon, requests":       dedup.Capacity,
		"requests queued at a daemon for one backend, one second's worth, requests": scheduler.QueueLength,
	}
	for quantity, bound := range bounds {
		if cells := fmt.Sprintf("| %s | %d |", quantity, bound); !strings.Contains(string(page), cells) {
			t.Errorf("docs/CAPACITY.md has no row with %q", cells)
		}
	}
}
