package fleet

import (
	"fmt"
	"path/filepath"

	"wardtray/config/process"
)

const (
	// mostSeeds is how many control machines the others are told of at first.
	mostSeeds = 3
	// drainTime is how long a data daemon accepts requests after SIGTERM.
	drainTime = "2s"
)

// Machine is one machine of a fleet.
type Machine struct {
	Name string
	// IP is its address, Zone that of its deployment.
	IP, Zone string
	Disk     bool
	// Data is its wtdata, Core its wtcore, which only a machine with a disk has.
	Data, Core *Process
}

// layOut returns the machines of a deployment, without their processes.
func layOut(deployment Deployment) []*Machine {
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

// seedsOf returns the addresses that the processes on such machines contact first.
func seedsOf(machines []*Machine) []string {
	var seeds []string
	for _, machine := range machines {
		if machine.Disk && len(seeds) < mostSeeds {
			seeds = append(seeds, join(machine.IP, portCore))
		}
	}
	return seeds
}

// prepare writes the settings of the machine's processes.
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
