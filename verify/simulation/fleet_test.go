package simulation

import (
	"slices"
	"testing"
)

func TestFleetSortsHostsByKind(t *testing.T) {
	fleet := newFleet()
	for _, host := range []*Host{
		{Address: "core", Zone: "a", core: &coreProcess{}},
		{Address: "data", Zone: "b", daemon: &daemonProcess{}},
		{Address: "removed core", Zone: "a", core: &coreProcess{}, removed: true},
		{Address: "removed data", Zone: "a", daemon: &daemonProcess{}, removed: true},
		{Address: "runner", Zone: "b", runner: &runnerProcess{}},
	} {
		fleet.insert(host)
	}
	inside, outside := fleet.zone("b")
	tests := []struct {
		name  string
		hosts []*Host
		want  []string
	}{
		{"cores", fleet.Cores(), []string{"core"}},
		{"data daemons", fleet.Daemons(), []string{"data"}},
		{"runners", fleet.Runners(), []string{"runner"}},
		{"in the zone", inside, []string{"data", "runner"}},
		{"in other zones", outside, []string{"core", "removed core", "removed data"}},
	}
	for _, test := range tests {
		var addresses []string
		for _, host := range test.hosts {
			addresses = append(addresses, host.Address)
		}
		if !slices.Equal(addresses, test.want) {
			t.Errorf("%s: %v, want %v", test.name, addresses, test.want)
		}
	}
	if fleet.byName["data"] != fleet.Hosts[1] {
		t.Error("a host isn't found by its address")
	}
}
