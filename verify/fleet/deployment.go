package fleet

import "wardtray/verify/loadtest"

// Zone is one zone of a deployment.
type Zone struct {
	Name string
	// Machines is the number of machines, Disks the number of those that have a disk and run a wtcore.
	Machines, Disks int
}

// Deployment specifies the zones, machines, runners and load of a fleet.
type Deployment struct {
	Name string
	// Network is the second byte of all its loopback addresses.
	Network int
	Zones   []Zone
	// Runners is the number of runners, which are distributed evenly over the zones.
	Runners int
	Mix     loadtest.Mix
	// Rate is the default request rate of the clients, in requests a second.
	Rate float64
}

// Deployments maps the names of the two predefined deployments to their specifications.
var Deployments = map[string]Deployment{
	"guild": {
		Name:    "guild",
		Network: 40,
		Zones: []Zone{
			{Name: "bangor", Machines: 4, Disks: 1},
			{Name: "dolgellau", Machines: 4, Disks: 1},
			{Name: "caerdydd", Machines: 4, Disks: 1},
		},
		Runners: 18,
		Mix:     loadtest.Guild,
		Rate:    60,
	},
	"ferries": {
		Name:    "ferries",
		Network: 50,
		Zones: []Zone{
			{Name: "north", Machines: 3, Disks: 1},
			{Name: "quay", Machines: 3, Disks: 1},
			{Name: "isle", Machines: 3, Disks: 1},
			{Name: "south", Machines: 2, Disks: 1},
		},
		Runners: 18,
		Mix:     loadtest.Ferries,
		Rate:    60,
	},
}

// ZoneNames returns the names of the zones in the order of Zones.
func (deployment Deployment) ZoneNames() []string {
	names := make([]string, 0, len(deployment.Zones))
	for _, zone := range deployment.Zones {
		names = append(names, zone.Name)
	}
	return names
}

// Cores returns the number of control machines.
func (deployment Deployment) Cores() (count int) {
	for _, zone := range deployment.Zones {
		count += zone.Disks
	}
	return count
}

// Machines returns the number of machines.
func (deployment Deployment) Machines() (count int) {
	for _, zone := range deployment.Zones {
		count += zone.Machines
	}
	return count
}

// zoneOf returns the index of the zone of the runner at an index.
func (deployment Deployment) zoneOf(index int) int { return index % len(deployment.Zones) }
