package simulation

import (
	"fmt"
	"time"

	"wardtray/verify/loadtest"
)

// Shape is the size of a simulated deployment.
type Shape struct {
	// Zones are the names of the zones; Machines and Disks are the numbers of machines and of disks in each of them.
	Zones    []string
	Machines []int
	Disks    []int
	// Faults is the number of machines that may lose their disks at once; 0 stands for 1.
	Faults int
	// Mix is the clients' workload; without one only the control plane is simulated.
	Mix loadtest.Mix
}

// With returns the shape with a workload for the request path.
func (shape Shape) With(mix loadtest.Mix) Shape {
	shape.Mix = mix
	return shape
}

// Guild and Ferries are the shapes of the two real deployments. A machine with a disk runs a control node and a data
// daemon, any other machine a data daemon only.
var (
	Guild   = Shape{Zones: []string{"a", "b", "c"}, Machines: []int{4, 4, 4}, Disks: []int{1, 1, 1}}
	Ferries = Shape{Zones: []string{"a", "b", "c", "d"}, Machines: []int{3, 3, 3, 2}, Disks: []int{1, 1, 1, 1}}
	// Grown has eight disks, of which two may be lost at once.
	Grown = Shape{Zones: []string{"a", "b", "c", "d"}, Machines: []int{5, 5, 5, 5}, Disks: []int{2, 2, 2, 2}, Faults: 2}
	// Single, Pair and Narrow have few disks, or few zones.
	Single = Shape{Zones: []string{"a", "b"}, Machines: []int{2, 2}, Disks: []int{1, 0}}
	Pair   = Shape{Zones: []string{"a", "b"}, Machines: []int{2, 2}, Disks: []int{1, 1}}
	Narrow = Shape{Zones: []string{"a"}, Machines: []int{8}, Disks: []int{6}, Faults: 2}
)

// NewDeployment builds a deployment and starts it. The functions in before may change the world before the start.
func NewDeployment(seed int64, shape Shape, before ...func(world *World)) *World {
	world := NewWorld(seed)
	world.Faults = max(1, shape.Faults)
	var seeds []string
	for index, zone := range shape.Zones {
		for number := range shape.Machines[index] {
			name := fmt.Sprintf("%s%d", zone, number)
			if number < shape.Disks[index] {
				world.AddCore(name+":core", zone)
				if len(seeds) < 3 {
					seeds = append(seeds, name+":core")
				}
			}
			world.AddDaemon(name+":data", zone)
		}
	}
	world.SetSeeds(seeds)
	for _, change := range before {
		change(world)
	}
	if shape.Mix.Model == "" {
		world.Platform.fill(18)
	} else {
		startTraffic(world, shape.Mix, shape.Zones, 18)
	}
	bootEverything(world)
	return world
}

// wideZones are the zones of a wide deployment.
var wideZones = []string{"a", "b", "c"}

// newWideDeployment builds and starts a deployment with one control machine in each of three zones, the given number of
// data daemons, and a platform that lists the given number of runners. The functions in before may change the world
// before the start.
func newWideDeployment(seed int64, daemons, listed int, before ...func(world *World)) *World {
	world := NewWorld(seed)
	seeds := make([]string, 0, len(wideZones))
	for _, zone := range wideZones {
		seeds = append(seeds, world.AddCore(zone+":core", zone).Address)
	}
	for number := range daemons {
		world.AddDaemon(fmt.Sprintf("d%04d", number), wideZones[number%len(wideZones)])
	}
	world.SetSeeds(seeds)
	world.Platform.fill(listed)
	for _, change := range before {
		change(world)
	}
	bootEverything(world)
	return world
}

// bootEverything starts each process at a random time within half a second.
func bootEverything(world *World) {
	for _, host := range world.Hosts {
		world.After(time.Duration(world.random.Intn(500))*time.Millisecond, host.Boot)
	}
}
