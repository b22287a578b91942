package fleet

import "wardtray/verify/loadtest"

// Zone is one zone of a deployment.
type Zone struct {
	Name string
	// Machines is how many machines it has, Disks how many of these have a disk.
	Machines, Disks int
}

// Deployment describes a fleet, its runners and its load.
type Deployment struct {
	Name string
	// Network is the second byte of all its addresses.
	Network int
	Zones   []Zone
	// Runners is how many runners there are; they are spread over the zones.
	Runners int
	Mix     loadtest.Mix
	// Rate is how many requests clients send in a second.
	Rate float64
}

// Deployments are the two deployments of the brief, by name.
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

// ZoneNames returns the names of the zones in order.
func (deployment Deployment) ZoneNames() []string {
	names := make([]string, 0, len(deployment.Zones))
	for _, zone := range deployment.Zones {
		names = append(names, zone.Name)
	}
	return names
}

// Cores returns how many control machines there are.
func (deployment Deployment) Cores() (count int) {
	for _, zone := range deployment.Zones {
		count += zone.Disks
	}
	return count
}

// Machines returns how many machines there are.
func (deployment Deployment) Machines() (count int) {
	for _, zone := range deployment.Zones {
		count += zone.Machines
	}
	return count
}

// zoneOf returns the index of the zone of a runner's place.
func (deployment Deployment) zoneOf(place int) int { return place % len(deployment.Zones) }
