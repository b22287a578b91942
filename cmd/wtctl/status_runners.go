package main

import (
	"maps"
	"slices"

	"wardtray/control/operator"
)

// runnerRow is what the daemons together know of a runner.
type runnerRow struct {
	address, zone, service, state string
	// load is the greatest that any daemon knows.
	load float64
	// inFlight is the sum over the daemons.
	inFlight, slots int
	// usable and daemons count the daemons that would send requests to the runner, and those that know it. reason is
	// why one of the others would not.
	usable, daemons int
	reason          string
}

// runnerRows returns a row for each runner that any daemon knows, by its id.
func runnerRows(fleet operator.FleetStatus) map[string]*runnerRow {
	rows := map[string]*runnerRow{}
	for _, data := range fleet.Daemons {
		for _, runner := range data.Runners {
			row := rows[runner.ID]
			if row == nil {
				row = &runnerRow{address: runner.Address, zone: runner.Zone, service: runner.Service,
					state: runner.State, slots: runner.Slots}
				rows[runner.ID] = row
			}
			row.daemons++
			row.inFlight += runner.InFlight
			row.load = max(row.load, runner.Load)
			if runner.Usable {
				row.usable++
			} else {
				row.reason = runner.Reason
			}
		}
	}
	return rows
}

// showRunners prints the runners in the order of their ids.
func showRunners(table *table, fleet operator.FleetStatus) {
	rows := runnerRows(fleet)
	table.printf("RUNNER\tADDRESS\tZONE\tSERVICE\tSTATE\tIN FLIGHT\tLOAD\tSLOTS\tUSABLE BY\tWHY NOT\n")
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		row := rows[id]
		table.printf("%s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%d\t%d of %d\t%s\n", id, row.address, row.zone, row.service,
			row.state, row.inFlight, row.load, row.slots, row.usable, row.daemons, row.reason)
	}
}
