// Package simulation is a seeded world in one thread: a network, clocks and disks on which the very state
// machines of the daemons run, while faults are done to them and the rules are checked after each
// step. The same seed gives the same run; a failure names its seed.
package simulation

import (
	"math/rand"
	"time"

	"wardtray/control/node"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
)

const (
	tickEvery    = 50 * time.Millisecond
	backlogLimit = 2000
	// defaultWithoutCore is for how long daemons go on while they reach no core machine.
	defaultWithoutCore = 5 * time.Minute
)

// Host is one simulated machine's process: a core, a data daemon or a runner.
type Host struct {
	Address    string
	Zone       string
	Core       bool
	node       *node.Node
	controller *controller.Controller
	plane      *dataplane.Plane
	engine     *engine
	// coroutines are the pieces of work of this life that have begun and not ended.
	coroutines []*coroutine
	conns      []*conn
	clients    []*client
	// poweredOff means that the machine is gone without a word: nothing answers, not even its system.
	poweredOff  bool
	service     string
	disk        *disk
	store       *snapshot.Store
	writes      []statemachine.Write
	writing     bool
	up          bool
	incarnation int
	frozen      bool
	backlog     []func()
	// wokenAt is when the process last woke from a freeze.
	wokenAt   time.Time
	stalled   bool
	diskDelay time.Duration
	drift     float64
	seeds     []string
	// removed means that the machine was taken away for good.
	removed bool
	// everStarted means that the machine came after the fleet's first start.
	everStarted bool
	// processingDelay is how much later than others it deals with what comes.
	processingDelay time.Duration
	// Sent is how many bytes of messages it has sent.
	Sent uint64
	// The greatest epoch under which this address awarded work.
	servedEpoch uint64
	isolation   isolation
	// resetAt is when the machine's connections were last reset: what was on its way then is lost.
	resetAt time.Time
	// leasedUntil is up to when a data daemon was last seen to be sure of its spec, by its own clock; leasedSince is
	// since when it has been so without a break.
	leasedUntil, leasedSince time.Time
}

// Up reports whether the host runs.
func (host *Host) Up() bool { return host.up }

// Node returns the state machine of a core.
func (host *Host) Node() *node.Node { return host.node }

// Data returns the controller of a data daemon.
func (host *Host) Data() *controller.Controller { return host.controller }

// World is the whole simulation.
type World struct {
	Seed     int64
	Now      time.Time
	started  time.Time
	queue    events
	sequence uint64
	random   *rand.Rand
	Hosts    []*Host
	byName   map[string]*Host
	cuts     map[[2]string]bool
	// links holds when one host last sent to another; its connection stays for a while.
	links  map[[2]string]time.Time
	Loss   float64
	Delay  time.Duration
	Jitter time.Duration
	// Messages and Bytes count what was sent; for the measurements of cost and spread.
	Messages, Bytes, CrossZoneBytes uint64
	trace                           uint64
	Platform                        platform
	Check                           *Checker
	// Traffic is the request path, where there is one.
	Traffic *Traffic
	// RegisteringRunners are the runners that register themselves, where they do.
	RegisteringRunners *RegisteringRunners
	current            *coroutine
	founders, seeds    []string
	// Faults is how many machines may lose their disks at once.
	Faults     int
	identities int
	// Metrics, if set, hears of every message.
	Metrics  func(from, to *Host, kind string, size int)
	replaced int
	// unscrubbedUntil is up to when damage on a disk may not have been found yet.
	unscrubbedUntil time.Time
	// Log names the faults done and undone.
	Log []string
	// WithoutCore is for how long data daemons go on while they reach no core machine.
	WithoutCore time.Duration
	// topologyDirty means that the topology has changed since the isolation of daemons was last computed.
	topologyDirty bool
}

// NewWorld makes an empty world.
func NewWorld(seed int64) *World {
	started := time.Unix(1_700_000_000, 0)
	world := &World{
		Seed:        seed,
		Now:         started,
		started:     started,
		random:      rand.New(rand.NewSource(seed)),
		byName:      map[string]*Host{},
		cuts:        map[[2]string]bool{},
		links:       map[[2]string]time.Time{},
		Delay:       time.Millisecond,
		Jitter:      4 * time.Millisecond,
		WithoutCore: defaultWithoutCore,
	}
	world.Check = newChecker(world)
	world.Platform.world = world
	return world
}

// addToTrace folds something into the trace, so that two runs of one seed can be compared.
func (world *World) addToTrace(value uint64) {
	world.trace = (world.trace ^ value) * 0x100000001b3
}

// Trace is a hash of all that happened.
func (world *World) Trace() uint64 { return world.trace }

// local returns a host's own clock.
func (world *World) local(host *Host) time.Time {
	passed := world.Now.Sub(world.started)
	return world.started.Add(passed + time.Duration(float64(passed)*host.drift))
}

// AddCore and AddData bring in machines; Boot starts them.
func (world *World) AddCore(address, zone string) *Host { return world.add(address, zone, true) }

// AddData brings in a data daemon.
func (world *World) AddData(address, zone string) *Host { return world.add(address, zone, false) }

func (world *World) add(address, zone string, isCore bool) *Host {
	host := &Host{
		Address: address,
		Zone:    zone,
		Core:    isCore,
		drift:   (world.random.Float64() - 0.5) * 0.01,
		seeds:   world.seeds,
	}
	if isCore {
		host.disk = newDisk(world.random)
	}
	world.Hosts = append(world.Hosts, host)
	world.topologyChanged()
	world.byName[address] = host
	return host
}

// SetSeeds says which addresses all processes begin with; founders are the same.
func (world *World) SetSeeds(seeds []string) {
	world.seeds, world.founders = seeds, seeds
	for _, host := range world.Hosts {
		host.seeds = seeds
	}
}

// Cores returns the hosts with a disk, Datas the others.
func (world *World) Cores() []*Host { return world.of(true) }

// Datas returns the data daemons.
func (world *World) Datas() []*Host { return world.of(false) }

func (world *World) of(isCore bool) []*Host {
	var hosts []*Host
	for _, host := range world.Hosts {
		if host.Core == isCore && host.engine == nil && !host.removed {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Runners returns the runners' hosts.
func (world *World) Runners() []*Host {
	var hosts []*Host
	for _, host := range world.Hosts {
		if host.engine != nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
