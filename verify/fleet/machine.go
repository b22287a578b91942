package fleet

import (
	"fmt"
	"path/filepath"

	"wardtray/config/process"
)

const (
	// maximumSeeds is the maximum number of control machines in the seed list of each process.
	maximumSeeds = 3
	// drainTime is the period in which a data daemon still accepts requests after SIGTERM.
	drainTime = "2s"
)

// Machine is one machine of a fleet.
type Machine struct {
	Name string
	// IP is the machine's loopback address, Zone the name of its zone.
	IP, Zone string
	Disk     bool
	// Data is the machine's wtdata process. Core is its wtcore process, or nil if it has no disk.
	Data, Core *Process
}

// machinesOf returns the machines of a deployment, without their processes.
func machinesOf(deployment Deployment) []*Machine {
	plan := addressPlan{deployment.Network}
	var machines []*Machine
	for index, zone := range deployment.Zones {
		for number := range zone.Machines {
			machines = append(machines, &Machine{
				Name: fmt.Sprintf("%s-%d", zone.Name, number+1),
				IP:   plan.machine(index, number),
				Zone: zone.Name,
				Disk: number < zone.Disks,
			})
		}
	}
	return machines
}

// seedsOf returns the seed list of the processes on the given machines: the addresses that they contact first.
func seedsOf(machines []*Machine) []string {
	var seeds []string
	for _, machine := range machines {
		if machine.Disk && len(seeds) < maximumSeeds {
			seeds = append(seeds, join(machine.IP, portCore))
		}
	}
	return seeds
}

// prepare creates the machine's processes and writes their settings. It starts nothing.
func (machine *Machine) prepare(seeds []string, platform, folder, binaries string) error {
	settings := process.Settings{
		Address:  join(machine.IP, portData),
		HTTP:     join(machine.IP, portDataHTTP),
		Zone:     machine.Zone,
		Seeds:    seeds,
		Platform: "http://" + platform + "/runners",
		Drain:    drainTime,
	}
	var err error
	if machine.Data, err = newProcess(machine.Name+".data", programData, settings, folder, binaries); err != nil {
		return err
	}
	if !machine.Disk {
		return nil
	}
	settings = process.Settings{
		Address: join(machine.IP, portCore),
		HTTP:    join(machine.IP, portCoreHTTP),
		Zone:    machine.Zone,
		Seeds:   seeds,
		Folder:  filepath.Join(folder, machine.Name),
	}
	machine.Core, err = newProcess(machine.Name+".core", programCore, settings, folder, binaries)
	return err
}
