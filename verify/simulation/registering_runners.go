package simulation

import (
	"fmt"
	"time"

	"wardtray/coordination/registry"
)

// crashDetectionBound is the longest time until all processes know that a runner has ended without notice.
const crashDetectionBound = 20 * time.Second

// RegisteringRunners are runners that register themselves with the control machines.
type RegisteringRunners struct {
	world *World
	check *registrationCheck
	// Incarnations are all incarnations in order of their starts; byID finds them by their ids.
	Incarnations []*runnerIncarnation
	byID         map[string]*runnerIncarnation
	// churnEvery is the mean interval at which an incarnation drains or crashes and is replaced; 0: never.
	churnEvery time.Duration
	// Acknowledged and Rejected count the answers to registrations.
	Acknowledged, Rejected int
}

// startRegisteringRunners starts the given number of runners.
func startRegisteringRunners(world *World, count int, zones []string) *RegisteringRunners {
	runners := &RegisteringRunners{world: world, byID: map[string]*runnerIncarnation{}}
	runners.check = &registrationCheck{runners: runners}
	world.RegisteringRunners = runners
	for number := range count {
		runners.start(fmt.Sprintf("10.9.0.%d:80", number), zones[number%len(zones)], "s")
	}
	return runners
}

// start starts an incarnation at an address.
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
	world.After(time.Duration(world.random.Int63n(int64(heartbeatInterval))), incarnation.heartbeat)
}

// startChurn ends incarnations at this mean interval, planned or not.
func (runners *RegisteringRunners) startChurn(every time.Duration) {
	runners.churnEvery = every
	runners.endRandomIncarnation()
}

// stopChurn ends the churn.
func (runners *RegisteringRunners) stopChurn() { runners.churnEvery = 0 }

// endRandomIncarnation ends a random incarnation, planned in two cases of three, and schedules the next end.
func (runners *RegisteringRunners) endRandomIncarnation() {
	world := runners.world
	if runners.churnEvery == 0 {
		return
	}
	if registered := runners.registered(); len(registered) > 0 {
		incarnation := registered[world.random.Intn(len(registered))]
		ends := []func(){incarnation.drain, incarnation.drain, incarnation.stop}
		ends[world.random.Intn(len(ends))]()
	}
	world.After(runners.churnEvery/2+time.Duration(world.random.Int63n(int64(runners.churnEvery))),
		runners.endRandomIncarnation)
}

// registered returns the incarnations that are registered and don't drain.
func (runners *RegisteringRunners) registered() []*runnerIncarnation {
	var registered []*runnerIncarnation
	for _, incarnation := range runners.Incarnations {
		if incarnation.isRegistered() {
			registered = append(registered, incarnation)
		}
	}
	return registered
}

// RunRegistrationScenario starts a deployment with self-registering runners, injects faults while runners start and
// end, and checks that every daemon lists the right runners in the end.
func RunRegistrationScenario(seed int64, shape Shape, names []string, atOnce int, knownBound time.Duration) *World {
	world := NewDeployment(seed, shape, func(world *World) { startRegisteringRunners(world, 18, shape.Zones) })
	runners := world.RegisteringRunners
	world.Run(10 * time.Second)
	runners.check.knownBound = knownBound
	runners.startChurn(time.Second)
	operators := startOperators(world, 3*time.Second)
	scheduleFaults(world, 40*time.Second, names, atOnce)
	world.Run(40*time.Second + time.Millisecond)
	runners.stopChurn()
	world.Run(crashDetectionBound)
	operators.Stop()
	if len(world.Check.Violations) == 0 {
		runners.check.requireFinalLists()
	}
	return world
}
