// Package simulation is a seeded, single-threaded simulator: a network, clocks and disks on which the production state
// machines of the daemons run, while faults are injected and the rules are checked after each step. The same seed gives
// the same run; a failure reports its seed.
//
// A World has hosts, each with the process that it runs: a control node (core), a data daemon or a runner. Scenarios
// (RunFaults, RunRequestScenario, RunControlScenario, RunRegistrationScenario) start a deployment and its workloads
// (operators, concurrent writers, traffic), schedule faults, and require that the fleet recovers. The Checker reports
// violated rules. All randomness is drawn from the world's seed and everything that happens is an event of its loop, so
// a change in the order of random draws or of events changes every run.
package simulation

import (
	"math/rand"
	"time"
)

const (
	// backlogLimit is the number of messages that the socket buffers of a frozen process's machine hold.
	backlogLimit = 2000
	// driftRange is the largest relative difference between the rates of two hosts' clocks.
	driftRange = 0.01
	// defaultIsolationLimit is the default of World.IsolationLimit.
	defaultIsolationLimit = 5 * time.Minute
)

// World is a complete simulation, composed of the event loop, the hosts, and the network that connects them.
type World struct {
	*eventLoop
	*fleet
	Seed   int64
	random *rand.Rand

	// These connect the hosts: links, messages and connections, and the tasks of their processes.
	topology   *topology
	network    *network
	coroutines *coroutines
	// Platform is the list of runners that the data daemons read.
	Platform platform

	// These check the rules and inject faults.
	Check      *Checker
	isolations *isolationTracker
	recovery   *recoveryCheck
	injector   *faultInjector

	// Traffic is the request path, where there is one.
	Traffic *Traffic
	// RegisteringRunners are the self-registering runners, if there are any.
	RegisteringRunners *RegisteringRunners
	// founders are the control machines that found the fleet, seeds the addresses that new processes start with.
	founders, seeds []string
	// Faults is the number of machines that may lose their disks at once.
	Faults int
	// identities counts the identities given to disks and runners.
	identities int
	// Log records the faults injected and undone, with the simulated time.
	Log []string
	// announcesOnly makes the data daemons announce requests instead of reserving them.
	announcesOnly bool
	// IsolationLimit is the time for which data daemons continue to serve while they reach no control machine.
	IsolationLimit time.Duration
}

// NewWorld returns an empty world.
func NewWorld(seed int64) *World {
	world := &World{
		eventLoop:      newEventLoop(time.Unix(1_700_000_000, 0)),
		fleet:          newFleet(),
		Seed:           seed,
		random:         rand.New(rand.NewSource(seed)),
		topology:       newTopology(),
		IsolationLimit: defaultIsolationLimit,
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

// Run runs the events of a duration of simulated time, or until a rule is violated.
func (world *World) Run(length time.Duration) {
	world.run(length, func() bool { return len(world.Check.Violations) > 0 }, world.isolations.refresh)
}

// AddCore adds a control machine; Host.Boot starts it.
func (world *World) AddCore(address, zone string) *Host {
	host := world.add(address, zone)
	host.core = newCoreProcess(host)
	host.process = host.core
	return host
}

// AddDaemon adds a data daemon; Host.Boot starts it.
func (world *World) AddDaemon(address, zone string) *Host {
	host := world.add(address, zone)
	host.daemon = &daemonProcess{host: host}
	host.process = host.daemon
	return host
}

// AddRunner adds a runner; Host.Boot starts it.
func (world *World) AddRunner(address, zone string) *Host {
	host := world.add(address, zone)
	host.runner = &runnerProcess{host: host, engine: &engine{}}
	host.process = host.runner
	return host
}

// add adds a machine without a process.
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

// pick returns a random host of some hosts.
func (world *World) pick(hosts []*Host) *Host { return hosts[world.random.Intn(len(hosts))] }

// SetSeeds sets the addresses that all processes start with; they are also the founders.
func (world *World) SetSeeds(seeds []string) {
	world.seeds, world.founders = seeds, seeds
	for _, host := range world.Hosts {
		host.seeds = seeds
	}
}

// Close unwinds all tasks, so that no goroutine outlives a run.
func (world *World) Close() {
	for _, host := range world.Hosts {
		host.endCoroutines()
	}
}
