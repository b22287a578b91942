package simulation

import (
	"maps"
	"slices"
)

// Fault does something to a world and returns what undoes it.
type Fault func(world *World) (undo func())

var (
	// Faults are all kinds of fault of the control plane and its daemons, each within what a deployment must bear alone.
	Faults = joined(processFaults, machineFaults, diskFaults, networkFaults)
	// RunnerFaults are all kinds of fault of the request path: of runners, of the platform's list, of planned work, and
	// of clients.
	RunnerFaults = joined(runnerFaults, listFaults, connectionFaults, loadFaults)
	// RegistrationFaults are the kinds of fault that only concern runners that register themselves.
	RegistrationFaults = map[string]Fault{"control lost": killAllCores}
)

// FaultNames returns every kind of fault of the control plane and its daemons in order.
func FaultNames() []string { return sorted(Faults) }

// RunnerFaultNames returns every kind of fault of the request path in order.
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

// joined returns the entries of several maps in one.
func joined(parts ...map[string]Fault) map[string]Fault {
	all := map[string]Fault{}
	for _, part := range parts {
		maps.Copy(all, part)
	}
	return all
}

// sorted returns the keys of a map in order.
func sorted[Value any](of map[string]Value) []string { return slices.Sorted(maps.Keys(of)) }
