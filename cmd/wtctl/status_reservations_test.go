package main

import (
	"slices"
	"testing"

	"wardtray/control/operator"
	"wardtray/coordination/reservation"
	"wardtray/dataplane/controller"
	"wardtray/dataplane/daemon"
)

// Each daemon that makes reservations has a row. The zones' rows come from the newest membership only.
func TestShowReservations(t *testing.T) {
	old := &controller.ReservationStatus{Epoch: 3, Zones: map[string]controller.ReservationZoneStatus{"a": {Replicas: 9}}}
	newest := &controller.ReservationStatus{Epoch: 4, Synced: true, Held: 6,
		Zones: map[string]controller.ReservationZoneStatus{
			"a": {Replicas: 3, CompleteSince: 2}, "b": {Replicas: 1, Forming: true}},
		Counters: reservation.Counters{Granted: 10, OtherZone: 1, Taken: 2, InDoubt: 3, Unreachable: 4, Full: 5}}
	fleet := operator.FleetStatus{Daemons: []daemon.Status{{Address: "d1", Reservations: newest},
		{Address: "d2", Reservations: old}, {Address: "d3"}}}
	want := []string{"d1 4 true 6 10 1 2 3 4 5", "d2 3 false 0 0 0 0 0 0 0", "ZONE REPLICAS COMPLETE SINCE", "a 3 2",
		"b 1 forming"}
	if rows := tableRows(t, showReservations, fleet); !slices.Equal(rows, want) {
		t.Errorf("%q instead of %q", rows, want)
	}
}
