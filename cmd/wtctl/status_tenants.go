package main

import (
	"maps"
	"slices"

	"wardtray/control/operator"
	"wardtray/coordination/quota"
)

// showTenants prints the usage of each tenant with a quota: the total, and the usage at each daemon that reports it.
func showTenants(table *table, fleet operator.FleetStatus) {
	totals := map[string]quota.Usage{}
	for _, data := range fleet.Daemons {
		for name, usage := range data.Tenants {
			total := totals[name]
			total.Used += usage.Used
			total.Refused += usage.Refused
			total.Balance += usage.Balance
			total.Demand += usage.Demand
			totals[name] = total
		}
	}
	table.printf("TENANT\tDAEMON\tUSED\tREFUSED\tHELD\tASKED A SECOND\n")
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		showUsage(table, name, "all", totals[name])
		for _, data := range fleet.Daemons {
			if usage, known := data.Tenants[name]; known {
				showUsage(table, name, data.Address, usage)
			}
		}
	}
}

func showUsage(table *table, tenant, daemon string, usage quota.Usage) {
	table.printf("%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\n", tenant, daemon, usage.Used, usage.Refused, usage.Balance,
		usage.Demand)
}
