package fleet

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"wardtray/verify/emulator"
	"wardtray/verify/histories"
)

// Fleet is an instance of a deployment. Its processes and runners run between Start and Stop.
type Fleet struct {
	Deployment Deployment
	Machines   []*Machine
	Runners    *Runners
	Platform   *emulator.Platform
	Operator   *Operator
	History    *histories.History

	addresses addressPlan
	// folder is the directory of settings, logs and data; binaries the directory of the programs.
	folder, binaries string
}

// New creates a fleet with its settings in a folder and starts the emulated platform. Start starts the processes and
// runners. The caller must call Stop.
func New(ctx context.Context, deployment Deployment, folder, binaries string, seed int64) (*Fleet, error) {
	history := histories.New()
	fleet := &Fleet{
		Deployment: deployment,
		Machines:   machinesOf(deployment),
		Operator:   newOperator(history),
		History:    history,
		addresses:  addressPlan{deployment.Network},
		folder:     folder,
		binaries:   binaries,
	}
	history.Zones, history.Daemons = deployment.ZoneNames(), len(fleet.Machines)
	history.Service, history.Weights = deployment.Mix.Service, deployment.Mix.Weights
	history.ZoneOf = map[string]string{}
	seeds, daemons := seedsOf(fleet.Machines), map[string][]string{}
	for _, machine := range fleet.Machines {
		if err := machine.prepare(seeds, fleet.addresses.platform(), folder, binaries); err != nil {
			return nil, err
		}
		history.ZoneOf[machine.Data.Settings.HTTP] = machine.Zone
		daemons[machine.Zone] = append(daemons[machine.Zone], machine.Data.Settings.HTTP)
	}
	platform, err := emulator.NewPlatform(ctx, fleet.addresses.platform(), daemons, history, seed)
	if err != nil {
		return nil, err
	}
	fleet.Platform = platform
	fleet.Runners = newRunners(deployment, platform, history)
	return fleet, nil
}

// Processes returns all processes, those of the control plane first.
func (fleet *Fleet) Processes() []*Process { return append(fleet.Cores(), fleet.DataDaemons()...) }

// Cores returns the processes of the control plane, beginning with the initial head of the chain.
func (fleet *Fleet) Cores() []*Process {
	var cores []*Process
	for _, machine := range fleet.Machines {
		if machine.Core != nil {
			cores = append(cores, machine.Core)
		}
	}
	return cores
}

// DataDaemons returns the processes of the data plane.
func (fleet *Fleet) DataDaemons() []*Process {
	daemons := make([]*Process, 0, len(fleet.Machines))
	for _, machine := range fleet.Machines {
		daemons = append(daemons, machine.Data)
	}
	return daemons
}

// lastCore returns the last process of the control plane.
func (fleet *Fleet) lastCore() *Process {
	cores := fleet.Cores()
	return cores[len(cores)-1]
}

// processesIn returns the processes of a zone, those of the control plane first.
func (fleet *Fleet) processesIn(zone string) []*Process {
	var found []*Process
	for _, process := range fleet.Processes() {
		if process.Settings.Zone == zone {
			found = append(found, process)
		}
	}
	return found
}

// Start starts every process and every runner. Cancelling the context kills the processes.
func (fleet *Fleet) Start(ctx context.Context) error {
	if err := startAll(ctx, fleet.Processes()); err != nil {
		return err
	}
	for index := range fleet.Deployment.Runners {
		if err := fleet.Runners.Start(ctx, index); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills all processes and runners and closes the platform.
func (fleet *Fleet) Stop() {
	killAll(fleet.Processes())
	fleet.Runners.Stop()
	fleet.Platform.Close()
}

// swapCore kills the process of a control machine and starts one without data at a new address to replace it.
func (fleet *Fleet) swapCore(ctx context.Context, number int) error {
	previous := fleet.Cores()[number]
	previous.Kill()
	for _, machine := range fleet.Machines {
		if machine.Core != previous {
			continue
		}
		settings := previous.Settings
		ip := fleet.addresses.swappedMachine(number)
		settings.Address, settings.HTTP = join(ip, portCore), join(ip, portCoreHTTP)
		settings.Folder = filepath.Join(fleet.folder, machine.Name+"-swapped")
		core, err := newProcess(machine.Name+".core-swapped", programCore, settings, fleet.folder, fleet.binaries)
		if err != nil {
			return err
		}
		machine.Core = core
	}
	return fleet.Cores()[number].Start(ctx)
}

// wipeCore kills the process of a control machine and deletes its data. It doesn't start the process again.
func (fleet *Fleet) wipeCore(number int) error {
	core := fleet.Cores()[number]
	core.Kill()
	return os.RemoveAll(core.Settings.Folder)
}

// apply applies the deployment's configuration, with an additional route if marker is not empty, and returns the
// recorded order.
func (fleet *Fleet) apply(
	ctx context.Context,
	core *Process,
	operation string,
	base uint64,
	marker string,
) *histories.OperatorRequest {
	var markers []string
	if marker != "" {
		markers = []string{marker}
	}
	request := &histories.OperatorRequest{
		Operation: operation,
		Base:      base,
		Marker:    marker,
		Spec:      fleet.Deployment.Mix.Spec(fleet.Deployment.ZoneNames(), markers...),
	}
	fleet.Operator.Apply(ctx, core, request)
	return request
}

// recordFault records a fault of a process that lasts for a duration from now. kills reports whether requests in
// progress at the process may be lost.
func (fleet *Fleet) recordFault(description string, process *Process, kills bool, duration time.Duration) {
	now := time.Now()
	fault := histories.Fault{At: now, Until: now.Add(duration), What: description, LosesRequests: kills}
	if process.Program == programData {
		fault.Daemon = process.Settings.HTTP
	}
	fleet.History.Change(func(history *histories.History) { history.Faults = append(history.Faults, fault) })
}

// recordRunnerFault records a fault of a runner that lasts for a duration from now. detectionTime is the time within
// which the data daemons must detect it.
func (fleet *Fleet) recordRunnerFault(
	description string, runner *emulator.Runner, duration, detectionTime time.Duration,
) {
	now := time.Now()
	fault := histories.Fault{
		At: now, Until: now.Add(duration), What: description, Runner: runner.ID, DetectionTime: detectionTime,
	}
	fleet.History.Change(func(history *histories.History) { history.Faults = append(history.Faults, fault) })
}
