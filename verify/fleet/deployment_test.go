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

// Everything that may run at the same time in a fleet has an address of its own.
func TestAddressesDiffer(t *testing.T) {
	for name, deployment := range Deployments {
		seen := map[string]bool{}
		take := func(address string) {
			if seen[address] {
				t.Errorf("%s: %s is given out twice", name, address)
			}
			seen[address] = true
			if host, _, err := net.SplitHostPort(address); err != nil || !net.ParseIP(host).IsLoopback() {
				t.Errorf("%s: %s is not on loopback, %v", name, address, err)
			}
		}
		plan := addressPlan{deployment.Network}
		take(plan.platform())
		for _, machine := range layOut(deployment) {
			for _, port := range []int{portCore, portCoreHTTP, portData, portDataHTTP} {
				take(join(machine.IP, port))
			}
		}
		for number := range deployment.Cores() {
			take(join(plan.swappedMachine(number), portCore))
		}
		for place := range deployment.Runners {
			zone := deployment.zoneOf(place)
			take(plan.runner(zone, place))
			take(plan.releasedRunner(zone, place))
		}
	}
}

func TestLayOutOfTheGuild(t *testing.T) {
	machines := layOut(Deployments["guild"])
	first, fifth := machines[0], machines[4]
	if first.Name != "bangor-1" || first.IP != "127.40.1.1" || first.Zone != "bangor" || !first.Disk {
		t.Errorf("the first machine: %+v", first)
	}
	if fifth.Name != "dolgellau-1" || fifth.IP != "127.40.2.1" || !fifth.Disk || machines[5].Disk {
		t.Errorf("the fifth machine: %+v", fifth)
	}
	want := []string{"127.40.1.1:7100", "127.40.2.1:7100", "127.40.3.1:7100"}
	if seeds := seedsOf(machines); !slices.Equal(seeds, want) {
		t.Errorf("seeds %q instead of %q", seeds, want)
	}
	if seeds := seedsOf(layOut(Deployments["ferries"])); len(seeds) != mostSeeds {
		t.Errorf("%d seeds", len(seeds))
	}
}
