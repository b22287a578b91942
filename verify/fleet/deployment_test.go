package fleet

import (
	"net"
	"slices"
	"testing"
)

func TestDeploymentsCountTheirMachines(t *testing.T) {
	for name, want := range map[string]struct {
		machines, cores int
		zones           []string
	}{
		"guild":   {12, 3, []string{"bangor", "dolgellau", "caerdydd"}},
		"ferries": {11, 4, []string{"north", "quay", "isle", "south"}},
	} {
		deployment := Deployments[name]
		if machines, cores := deployment.Machines(), deployment.Cores(); machines != want.machines || cores != want.cores {
			t.Errorf("%s has %d machines and %d cores", name, machines, cores)
		}
		if zones := deployment.ZoneNames(); !slices.Equal(zones, want.zones) {
			t.Errorf("%s has zones %q", name, zones)
		}
	}
}

// Everything that may run at the same time in a fleet has its own address on loopback: with a shared one, the second
// process or runner would fail to listen.
func TestAddressesDiffer(t *testing.T) {
	for name, deployment := range Deployments {
		seen := map[string]bool{}
		checkUnique := func(address string) {
			if seen[address] {
				t.Errorf("%s: %s is assigned twice", name, address)
			}
			seen[address] = true
			if host, _, err := net.SplitHostPort(address); err != nil || !net.ParseIP(host).IsLoopback() {
				t.Errorf("%s: %s is not on loopback, %v", name, address, err)
			}
		}
		plan := addressPlan{deployment.Network}
		checkUnique(plan.platform())
		for _, machine := range machinesOf(deployment) {
			for _, port := range []int{portCore, portCoreHTTP, portData, portDataHTTP} {
				checkUnique(join(machine.IP, port))
			}
		}
		for number := range deployment.Cores() {
			checkUnique(join(plan.swappedMachine(number), portCore))
		}
		for index := range deployment.Runners {
			zone := deployment.zoneOf(index)
			checkUnique(plan.runner(zone, index))
			checkUnique(plan.replacementRunner(zone, index))
		}
	}
}

func TestMachinesOfTheGuild(t *testing.T) {
	machines := machinesOf(Deployments["guild"])
	first, fifth := machines[0], machines[4]
	if first.Name != "bangor-1" || first.IP != "127.40.1.1" || first.Zone != "bangor" || !first.Disk {
		t.Errorf("first machine: %+v", first)
	}
	if fifth.Name != "dolgellau-1" || fifth.IP != "127.40.2.1" || !fifth.Disk || machines[5].Disk {
		t.Errorf("fifth machine: %+v", fifth)
	}
	want := []string{"127.40.1.1:7100", "127.40.2.1:7100", "127.40.3.1:7100"}
	if seeds := seedsOf(machines); !slices.Equal(seeds, want) {
		t.Errorf("seeds %q instead of %q", seeds, want)
	}
	if seeds := seedsOf(machinesOf(Deployments["ferries"])); len(seeds) != maximumSeeds {
		t.Errorf("ferries has %d seeds", len(seeds))
	}
}
