package main

import "wardtray/control/operator"

// showDaemons prints the state of each data daemon.
func showDaemons(table *table, fleet operator.FleetStatus) {
	table.printf("DAEMON\tZONE\tEPOCH\tVIEW\tSERVING\tDRAINING\tIN FLIGHT\tNEIGHBOURS\tUPTIME\n")
	for _, data := range fleet.Daemons {
		table.printf("%s\t%s\t%d\t%d\t%v\t%v\t%d\t%d\t%s\n", data.Address, data.Zone, data.Epoch, data.View,
			data.Serving, data.Draining, data.InFlight, len(data.PartialView), data.Uptime)
	}
}
