package main

import (
	"strings"

	"wardtray/control/operator"
)

// showView prints the view that each control machine knows.
func showView(table *table, fleet operator.FleetStatus) {
	table.printf("SEEN BY\tVIEW\tFLEET\tCHAIN\tKEEPERS\n")
	for _, core := range fleet.ControlNodes {
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
