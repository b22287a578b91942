package main

import "wardtray/control/operator"

// showChain prints the state of each control machine.
func showChain(table *table, fleet operator.FleetStatus) {
	table.printf("MACHINE\tZONE\tPLACE\tSYNCED\tCOMMITTED\tEPOCH\tCLAIM\tSICK\tID\n")
	for _, core := range fleet.ControlNodes {
		state := core.Core
		table.printf("%s\t%s\t%s\t%d\t%d\t%d\t%v\t%v\t%s\n", core.Address, core.Zone, state.Position, state.Synced,
			state.Committed, state.Epoch, state.HoldsLease, state.Unhealthy, state.ID)
	}
}
