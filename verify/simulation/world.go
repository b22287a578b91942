// Package simulation is a seeded world in one thread: a network, clocks and disks on which the very state
// machines of the daemons run, while faults are done to them and the rules are checked after each
// step. The same seed gives the same run; a failure names its seed.
//
// A World has hosts, each with the process that it runs: a core, a data daemon or a runner. Scenarios (Play, Try,
// PlayControlDay, PlayRegisteringRunners) found a deployment, start workloads (operators, racers, traffic), schedule
// faults, and require that the fleet recovers. The Checker reports what breaks a rule. All randomness is drawn from the
// world's seed and all that happens is an event of its loop, so that a change of the order of either changes every run.
package simulation

import (
	"math/rand"
	"time"
)

const (
	// backlogLimit is how much a frozen machine's sockets hold.
	backlogLimit = 2000
	// driftRange is by what part the fastest and the slowest clock of hosts may differ.
	driftRange = 0.01
	// defaultWithoutCore is for how long daemons go on while they reach no core machine.
	defaultWithoutCore = 5 * time.Minute
)

// World is the whole simulation. It is composed of the event loop, the hosts, and what connects them.
type World struct {
	*eventLoop
	*fleet
	Seed   int64
	random *rand.Rand

	// These connect the hosts: which reach each other, their messages and connections, and the work of their processes.
	topology   *topology
	network    *network
	coroutines *coroutines
	// Platform is the list of runners that the data daemons read.
	Platform platform

	// These judge what happens, and injector does faults.
	Check      *Checker
	isolations *isolationTracker
	recovery   *recoveryCheck
	injector   *faultInjector

	// Traffic is the request path, where there is one.
	Traffic *Traffic
	// RegisteringRunners are the runners that register themselves, where they do.
	RegisteringRunners *RegisteringRunners
	// founders are the cores that found the fleet, seeds the addresses that new processes begin with.
	founders, seeds []string
	// Faults is how many machines may lose their disks at once.
	Faults int
	// identities counts the identities that disks and runners were given.
	identities int
	// Log names the faults injected and undone, with the time since the start.
	Log []string
	// announcesOnly has the data daemons make no reservations.
	announcesOnly bool
	// WithoutCore is for how long data daemons go on while they reach no core machine.
	WithoutCore time.Duration
}

// NewWorld makes an empty world.
func NewWorld(seed int64) *World {
	world := &World{
		eventLoop:   newEventLoop(time.Unix(1_700_000_000, 0)),
		fleet:       newFleet(),
		Seed:        seed,
		random:      rand.New(rand.NewSource(seed)),
		topology:    newTopology(),
		WithoutCore: defaultWithoutCore,
	}
	world.network = newNetwork(world)
	world.coroutines = &coroutines{world: world}
	world.isolations = newIsolationTracker(world)
	world.recovery = &recoveryCheck{world: world}
	world.injector = &faultInjector{world: world}
	world.Check = newChecker(world)
	world.Platform.world = world
	return world
}

// Run goes on for a length of simulated time, or until a rule is broken.
func (world *World) Run(length time.Duration) {
	world.run(length, func() bool { return len(world.Check.Violations) > 0 }, world.isolations.refresh)
}

// AddCore brings in a core machine; Boot starts it.
func (world *World) AddCore(address, zone string) *Host {
	host := world.add(address, zone)
	host.core = newCoreProcess(host)
	host.process = host.core
	return host
}

// AddData brings in a data daemon.
func (world *World) AddData(address, zone string) *Host {
	host := world.add(address, zone)
	host.daemon = &daemonProcess{host: host}
	host.process = host.daemon
	return host
}

// AddRunner brings in a runner's machine.
func (world *World) AddRunner(address, zone string) *Host {
	host := world.add(address, zone)
	host.runner = &runnerProcess{host: host, engine: &engine{}}
	host.process = host.runner
	return host
}

// add brings in a machine without a process.
func (world *World) add(address, zone string) *Host {
	host := &Host{
		world:   world,
		Address: address,
		Zone:    zone,
		drift:   (world.random.Float64() - 0.5) * driftRange,
		seeds:   world.seeds,
	}
	world.insert(host)
	world.topology.changed()
	return host
}

// pick draws one of some hosts.
func (world *World) pick(hosts []*Host) *Host { return hosts[world.random.Intn(len(hosts))] }

// SetSeeds says which addresses all processes begin with; founders are the same.
func (world *World) SetSeeds(seeds []string) {
	world.seeds, world.founders = seeds, seeds
	for _, host := range world.Hosts {
		host.seeds = seeds
	}
}

// Close ends all work, so that nothing is left behind when a run is over.
func (world *World) Close() {
	for _, host := range world.Hosts {
		host.endCoroutines()
	}
}
