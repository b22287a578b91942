package main

import (
	"strings"

	"wardtray/control/operator"
)

// showChain prints the state of each control node.
func showChain(table *table, fleet operator.FleetStatus) {
	table.printf("MACHINE\tZONE\tPLACE\tSYNCED\tCOMMITTED\tEPOCH\tCLAIM\tSICK\tID\n")
	for _, core := range fleet.Cores {
		state := core.Core
		table.printf("%s\t%s\t%s\t%d\t%d\t%d\t%v\t%v\t%s\n", core.Address, core.Zone, state.Position, state.Synced,
			state.Committed, state.Epoch, state.HoldsLease, state.Unhealthy, state.ID)
	}
}

// showView prints the view that each control node has.
func showView(table *table, fleet operator.FleetStatus) {
	table.printf("SEEN BY\tVIEW\tFLEET\tCHAIN\tKEEPERS\n")
	for _, core := range fleet.Cores {
		var chain, acceptors strings.Builder
		for _, member := range core.Core.Chain {
			chain.WriteString(member.Address + " ")
		}
		for _, member := range core.Core.Acceptors {
			acceptors.WriteString(member.Address + " ")
		}
		table.printf("%s\t%d\t%s\t%s\t%s\n", core.Address, core.Core.View, core.Core.Fleet,
			chain.String(), acceptors.String())
	}
}
