package simulation

import (
	"fmt"
	"time"

	"wardtray/coordination/registry"
)

// unresponsiveKnown is after what time at the latest everybody knows of a runner that ended without a word.
const unresponsiveKnown = 20 * time.Second

// RegisteringRunners are runners that register themselves at the cores, with what is known of each life.
type RegisteringRunners struct {
	world *World
	check *registrationCheck
	// Incarnations are all lives, in the order of their starts; byID finds them by their ids.
	Incarnations []*runnerIncarnation
	byID         map[string]*runnerIncarnation
	// churnEvery is about how often one of them leaves, crashes, or is replaced; none while it is 0.
	churnEvery time.Duration
	// Acknowledged and Rejected count the answers to calls.
	Acknowledged, Rejected int
}

// startRegisteringRunners brings in so many runners.
func startRegisteringRunners(world *World, count int, zones []string) *RegisteringRunners {
	runners := &RegisteringRunners{world: world, byID: map[string]*runnerIncarnation{}}
	runners.check = &registrationCheck{runners: runners}
	world.RegisteringRunners = runners
	for number := range count {
		runners.start(fmt.Sprintf("10.9.0.%d:80", number), zones[number%len(zones)], "s")
	}
	return runners
}

// start begins a life at an address.
func (runners *RegisteringRunners) start(address, zone, service string) {
	world := runners.world
	incarnation := &runnerIncarnation{
		runners: runners,
		id:      fmt.Sprintf("q%d", len(runners.Incarnations)+1),
		address: address,
		zone:    zone,
		service: service,
		started: world.Now,
		core:    world.random.Intn(64),
		state:   registry.Ready,
		running: true,
	}
	runners.Incarnations = append(runners.Incarnations, incarnation)
	runners.byID[incarnation.id] = incarnation
	world.After(time.Duration(world.random.Int63n(int64(callEvery))), incarnation.heartbeat)
}

// startChurn has lives end about every so often, as planned or not.
func (runners *RegisteringRunners) startChurn(every time.Duration) {
	runners.churnEvery = every
	runners.endOne()
}

// stopChurn has no more lives end.
func (runners *RegisteringRunners) stopChurn() { runners.churnEvery = 0 }

// endOne has one life end, two out of three as planned, and comes back after a while.
func (runners *RegisteringRunners) endOne() {
	world := runners.world
	if runners.churnEvery == 0 {
		return
	}
	if steady := runners.steady(); len(steady) > 0 {
		incarnation := steady[world.random.Intn(len(steady))]
		ends := []func(){incarnation.drain, incarnation.drain, incarnation.stop}
		ends[world.random.Intn(len(ends))]()
	}
	world.After(runners.churnEvery/2+time.Duration(world.random.Int63n(int64(runners.churnEvery))), runners.endOne)
}

// steady returns the lives that are known and don't leave.
func (runners *RegisteringRunners) steady() []*runnerIncarnation {
	var steady []*runnerIncarnation
	for _, incarnation := range runners.Incarnations {
		if incarnation.isSteady() {
			steady = append(steady, incarnation)
		}
	}
	return steady
}

// PlayRegisteringRunners founds a deployment whose runners register themselves, injects faults while they come and
// go, and sees whether everybody knows who is there in the end.
func PlayRegisteringRunners(seed int64, shape Shape, names []string, atOnce int, knownBound time.Duration) *World {
	world := Found(seed, shape, func(world *World) { startRegisteringRunners(world, 18, shape.Zones) })
	runners := world.RegisteringRunners
	world.Run(10 * time.Second)
	runners.check.knownBound = knownBound
	runners.startChurn(time.Second)
	operators := startOperators(world, 3*time.Second)
	scheduleFaults(world, 40*time.Second, names, atOnce)
	world.Run(40*time.Second + time.Millisecond)
	runners.stopChurn()
	world.Run(unresponsiveKnown)
	operators.Stop()
	if len(world.Check.Violations) == 0 {
		runners.check.requireFinalLists()
	}
	return world
}
