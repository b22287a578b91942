package simulation

import (
	"maps"
	"slices"
)

// Fault injects a fault into a world and returns the function that undoes it.
type Fault func(world *World) (undo func())

var (
	// Faults are all kinds of fault of the control plane and the data daemons; a deployment must tolerate each of them
	// alone.
	Faults = joined(processFaults, machineFaults, diskFaults, networkFaults)
	// RunnerFaults are all kinds of fault of the request path: of runners, the platform's list, connections, planned
	// restarts and load.
	RunnerFaults = joined(runnerFaults, listFaults, connectionFaults, loadFaults)
	// RegistrationFaults are the kinds of fault that only concern self-registering runners.
	RegistrationFaults = map[string]Fault{"control lost": killAllCores}
)

// FaultNames returns the names of Faults in order.
func FaultNames() []string { return sorted(Faults) }

// RunnerFaultNames returns the names of RunnerFaults in order.
func RunnerFaultNames() []string { return sorted(RunnerFaults) }

// faultNamed returns a kind of fault by its name, or nil.
func faultNamed(name string) Fault {
	for _, faults := range []map[string]Fault{Faults, RegistrationFaults} {
		if found := faults[name]; found != nil {
			return found
		}
	}
	return RunnerFaults[name]
}

// joined merges several maps into one.
func joined(parts ...map[string]Fault) map[string]Fault {
	all := map[string]Fault{}
	for _, part := range parts {
		maps.Copy(all, part)
	}
	return all
}

// sorted returns the keys of a map in order.
func sorted[Value any](of map[string]Value) []string { return slices.Sorted(maps.Keys(of)) }
