package main

import (
	"maps"
	"slices"

	"wardtray/control/operator"
)

// runnerRow is the state of a runner, combined from the reports of all daemons.
type runnerRow struct {
	address, zone, service, state string
	// load is the greatest load that any daemon reports.
	load float64
	// inFlight is the number of requests in progress, summed over the daemons.
	inFlight, slots int
	// usable counts the daemons that would send requests to the runner, daemons all daemons that know it. reason is why
	// the runner is not usable, as one daemon reports it; empty if all can use it.
	usable, daemons int
	reason          string
}

// runnerRows returns a row for each runner that any daemon reports, by runner id.
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

// showRunners prints the runners, sorted by id.
func showRunners(table *table, fleet operator.FleetStatus) {
	rows := runnerRows(fleet)
	table.printf("RUNNER\tADDRESS\tZONE\tSERVICE\tSTATE\tIN FLIGHT\tLOAD\tSLOTS\tUSABLE BY\tWHY NOT\n")
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		row := rows[id]
		table.printf("%s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%d\t%d of %d\t%s\n", id, row.address, row.zone, row.service,
			row.state, row.inFlight, row.load, row.slots, row.usable, row.daemons, row.reason)
	}
}
