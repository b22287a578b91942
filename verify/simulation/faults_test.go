package simulation

import (
	"slices"
	"testing"
	"time"
)

func TestFaultsHaveOneNameEach(t *testing.T) {
	parts := []map[string]Fault{processFaults, machineFaults, diskFaults, networkFaults, runnerFaults, listFaults,
		connectionFaults, loadFaults, RegistrationFaults}
	var names []string
	for _, part := range parts {
		for name, fault := range part {
			names = append(names, name)
			if fault == nil || faultNamed(name) == nil {
				t.Errorf("there is no fault %q", name)
			}
		}
	}
	slices.Sort(names)
	all := slices.Concat(FaultNames(), RunnerFaultNames(), sorted(RegistrationFaults))
	slices.Sort(all)
	if !slices.Equal(names, all) || len(slices.Compact(names)) != len(all) {
		t.Errorf("the parts have %v, all together %v", names, all)
	}
	if faultNamed("no such fault") != nil {
		t.Error("a fault that doesn't exist is found")
	}
}

// hostState is the part of a host's state that faults change.
type hostState struct {
	up, frozen, stalled, full, cut bool
	processingDelay, diskDelay     time.Duration
}

func stateOf(host *Host) hostState {
	storage := host.core.storage
	return hostState{
		up:              host.up,
		frozen:          host.frozen,
		stalled:         storage.stalled,
		full:            storage.disk.full,
		cut:             host.world.topology.severed(host),
		processingDelay: host.processingDelay,
		diskDelay:       storage.delay,
	}
}

func TestHostFaultsAreUndone(t *testing.T) {
	t.Parallel()
	healthy := hostState{up: true}
	tests := []struct {
		name  string
		fault hostFault
		want  hostState
	}{
		{"process killed", killProcess, hostState{}},
		{"power off", powerOff, hostState{}},
		{"disk wiped", wipeDisk, hostState{}},
		{"process frozen", freezeProcess, hostState{up: true, frozen: true}},
		{"process slow", slowProcess, hostState{up: true, processingDelay: slowDelay}},
		{"disk stalled", stallDisk, hostState{up: true, stalled: true}},
		{"disk slow", slowDisk, hostState{up: true, diskDelay: slowDelay}},
		{"disk full", fillDisk, hostState{up: true, full: true}},
		{"cut off", cutOff, hostState{up: true, cut: true}},
		{"deaf", deafen, hostState{up: true, cut: true}},
		{"mute", mute, hostState{up: true, cut: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			world := settledFleet(t)
			host := world.Cores()[0]
			undo := test.fault(world, host)
			if got := stateOf(host); got != test.want {
				t.Errorf("host state during the fault: %+v, want %+v", got, test.want)
			}
			undo()
			if got := stateOf(host); got != healthy {
				t.Errorf("host state after undoing the fault: %+v, want %+v", got, healthy)
			}
		})
	}
}

// Each fault of the control plane alone ends when it is undone: the fleet repairs itself.
func TestFaultsAreRepaired(t *testing.T) {
	t.Parallel()
	for name, fault := range Faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := settledFleet(t)
			undo := fault(world)
			world.Run(time.Second)
			undo()
			world.Run(scrubAllowance)
			world.recovery.requireRedundancy(world.Now)
			for _, violation := range world.Check.Violations {
				t.Error(violation)
			}
		})
	}
}

func TestFaultsAreRecordedForTheRequestPath(t *testing.T) {
	t.Parallel()
	shape := Shape{Zones: []string{"a", "b", "c"}, Machines: []int{1, 1, 1}, Disks: []int{1, 1, 1}, Mix: GuildPath.Mix}
	world := NewDeployment(1, shape)
	t.Cleanup(world.Close)
	world.Run(8 * time.Second)
	host, core := world.Daemons()[0], world.Cores()[0]
	end := world.injector.record(impact{kills: true, detectableAfter: time.Second}, host, core)
	faults := world.Traffic.History.Faults
	if len(faults) != 1 || faults[0].Daemon != host.Address || !faults[0].LosesRequests ||
		faults[0].DetectionTime != time.Second ||
		!faults[0].Until.After(world.Now) {
		t.Fatalf("recorded %+v, want one active fault of the data daemon", faults)
	}
	end()
	if ended := world.Traffic.History.Faults[0]; !ended.Until.Equal(world.Now) {
		t.Errorf("recorded %+v, want it to end now", ended)
	}
}
