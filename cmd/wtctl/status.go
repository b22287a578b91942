package main

import (
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/control/operator"
)

// allParts is the argument of the status command that selects every part.
const allParts = "all"

// statusPart is a part of the fleet's state, printed as a table.
type statusPart struct {
	name string
	show func(table *table, fleet operator.FleetStatus)
}

// statusParts lists the parts in the order in which they are printed together.
var statusParts = []statusPart{
	{"chain", showChain},
	{"view", showView},
	{"cohort", showDaemons},
	{"runners", showRunners},
	{"tenants", showTenants},
	{"reservations", showReservations},
	{"counters", showCounters},
}

// partNames returns the valid arguments of the status command.
func partNames() []string {
	names := make([]string, 0, len(statusParts)+1)
	names = append(names, allParts)
	for _, part := range statusParts {
		names = append(names, part.name)
	}
	return names
}

// registerStatus declares the command that prints the state of the fleet.
func (session *session) registerStatus(known commands, application *kingpin.Application) {
	command := application.Command("status", "Show the state of the fleet.")
	argument := command.Arg("part", "all, chain, view, cohort, runners, tenants, reservations or counters.")
	part := argument.Default(allParts).Enum(partNames()...)
	known[command.FullCommand()] = func() (exitCode, error) { return session.status(*part) }
}

// status prints one part of the fleet's state, or all, and then the warnings.
func (session *session) status(name string) (exitCode, error) {
	fleet, err := session.client.Status()
	if err != nil {
		return exitRefused, err
	}
	if session.json {
		return exitFine, session.output.printJSON(fleet)
	}
	table := newTable(session.output)
	for _, part := range statusParts {
		if name == allParts {
			table.printf("== %s\n", part.name)
		}
		if name == allParts || name == part.name {
			part.show(table, fleet)
		}
	}
	for _, warning := range warnings(fleet) {
		table.printf("warning: %s\n", warning)
	}
	return exitFine, table.flush()
}

// warnings returns the control machines' warnings and one for each process that does not respond, sorted and without
// duplicates.
func warnings(fleet operator.FleetStatus) []string {
	distinct := map[string]bool{}
	for _, core := range fleet.ControlNodes {
		for _, warning := range core.Core.Warnings {
			distinct[warning] = true
		}
	}
	for _, address := range fleet.Unreachable {
		distinct["no answer from "+address] = true
	}
	return slices.Sorted(maps.Keys(distinct))
}
