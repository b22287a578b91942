package main

import (
	"maps"
	"slices"

	"wardtray/control/operator"
	"wardtray/dataplane/controller"
)

// showReservations prints each daemon's counters of reservations for at-most-once requests, and for each zone the epoch
// since which its replicas know every reservation, as reported by the daemon with the newest epoch.
func showReservations(table *table, fleet operator.FleetStatus) {
	table.printf("DAEMON\tTERM\tSYNCED\tHELD\tGRANTED\tOTHER ZONE\tTAKEN\tIN DOUBT\tUNREACHABLE\tFULL\n")
	newest := &controller.ReservationStatus{}
	for _, data := range fleet.Daemons {
		status := data.Reservations
		if status == nil {
			continue
		}
		if status.Epoch >= newest.Epoch {
			newest = status
		}
		table.printf("%s\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", data.Address, status.Epoch, status.Synced, status.Held,
			status.Granted, status.OtherZone, status.Taken, status.InDoubt, status.Unreachable, status.Full)
	}
	table.printf("ZONE\tREPLICAS\tCOMPLETE SINCE\n")
	for _, name := range slices.Sorted(maps.Keys(newest.Zones)) {
		zone := newest.Zones[name]
		if zone.Forming {
			table.printf("%s\t%d\tforming\n", name, zone.Replicas)
			continue
		}
		table.printf("%s\t%d\t%d\n", name, zone.Replicas, zone.CompleteSince)
	}
}
