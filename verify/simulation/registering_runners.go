package simulation

import (
	"fmt"
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

const (
	// callEvery is how often a runner calls, ackBound how long it waits for the acknowledgement.
	callEvery = 1200 * time.Millisecond
	ackBound  = time.Second
	// leaveKnown is within what time of the acknowledgement no daemon uses a leaving runner any more.
	leaveKnown        = 2 * time.Second
	drainServe        = 2500 * time.Millisecond
	addressRest       = 2 * time.Second
	warmUpTime        = 1500 * time.Millisecond
	unresponsiveKnown = 20 * time.Second
)

// RegisteringRunners are runners that register themselves at the cores, with what is known of each life.
type RegisteringRunners struct {
	world        *World
	incarnations int
	Incarnations []*runnerIncarnation
	// Every is about how often one of them leaves, crashes, or is replaced; none while it is 0.
	Every time.Duration
	// KnownBound is from when on a runner that calls must be listed by every daemon that awards work, after its first
	// acknowledgement; 0: no daemon must, since cores are cut apart.
	KnownBound time.Duration
	byID       map[string]*runnerIncarnation
	// Acknowledged and Refusals count the answers to calls.
	Acknowledged, Rejected int
}

// runnerIncarnation is one life of a runner.
type runnerIncarnation struct {
	runners *RegisteringRunners
	id      string
	address string
	zone    string
	service string
	started time.Time
	call    uint64
	core    int
	state   string
	running bool
	// pendingCall is the call under way.
	pendingCall uint64
	// knownSince is when a call was first acknowledged, left when it was that it drains or is gone, ended when it
	// stopped without a word or with one.
	knownSince, leftAt, finishedAt time.Time
}

// startRegisteringRunners brings in so many runners.
func startRegisteringRunners(world *World, count int, zones []string) *RegisteringRunners {
	registering := &RegisteringRunners{world: world, byID: map[string]*runnerIncarnation{}}
	world.RegisteringRunners = registering
	for number := range count {
		registering.start(fmt.Sprintf("10.9.0.%d:80", number), zones[number%len(zones)], "s")
	}
	return registering
}

func (registering *RegisteringRunners) start(address, zone, service string) {
	registering.incarnations++
	incarnation := &runnerIncarnation{
		runners: registering,
		id:      fmt.Sprintf("q%d", registering.incarnations),
		address: address,
		zone:    zone,
		service: service,
		started: registering.world.Now,
		core:    registering.world.random.Intn(64),
		state:   registry.Ready,
		running: true,
	}
	registering.Incarnations = append(registering.Incarnations, incarnation)
	registering.byID[incarnation.id] = incarnation
	registering.world.After(time.Duration(registering.world.random.Int63n(int64(callEvery))), incarnation.heartbeat)
}

// heartbeat calls now and again after a while.
func (incarnation *runnerIncarnation) heartbeat() {
	if !incarnation.running {
		return
	}
	incarnation.register(2)
	world := incarnation.runners.world
	world.After(callEvery*9/10+time.Duration(world.random.Int63n(int64(callEvery/5))), incarnation.heartbeat)
}

// registration is what the runner tells of itself now.
func (incarnation *runnerIncarnation) registration() *wire.Runner {
	registration := &wire.Runner{
		RunnerId: incarnation.id,
		Address:  incarnation.address,
		Zone:     incarnation.zone,
		Service:  incarnation.service,
		Slots:    4,
		State:    incarnation.state,
		Call:     incarnation.call,
	}
	if warmUp := warmUpTime - incarnation.runners.world.Now.Sub(incarnation.started); warmUp > 0 &&
		incarnation.state == registry.Ready {
		registration.State, registration.SlowStartMilliseconds = registry.Cold, uint32(warmUp/time.Millisecond)
	}
	return registration
}

// register calls a core, and others if that does not acknowledge.
func (incarnation *runnerIncarnation) register(more int) {
	incarnation.call++
	call, registration := incarnation.call, incarnation.registration()
	incarnation.pendingCall = call
	draining := incarnation.state == registry.Draining
	incarnation.send(func(now time.Time, host *Host, answer func(outcome registry.Outcome)) {
		host.core.node.Register(now, registration, answer)
	}, func() {
		if incarnation.pendingCall == call {
			incarnation.pendingCall = 0
		}
		incarnation.recordAcknowledged(draining)
	})
	world := incarnation.runners.world
	// A copy may be long on its way and come to a core that has heard nothing else of this life.
	if world.random.Intn(8) == 0 {
		world.After(time.Duration(world.random.Int63n(int64(4*time.Second))), func() {
			host := world.pick(world.Cores())
			host.reach(func() { host.core.node.Register(host.local(), registration, func(registry.Outcome) {}) })
		})
	}
	world.After(ackBound, func() {
		if incarnation.pendingCall == call && incarnation.running && more > 0 {
			incarnation.core++
			incarnation.register(more - 1)
		}
	})
}

// recordAcknowledged notes what an acknowledgement promises.
func (incarnation *runnerIncarnation) recordAcknowledged(leaves bool) {
	incarnation.runners.Acknowledged++
	if incarnation.knownSince.IsZero() {
		incarnation.knownSince = incarnation.runners.world.Now
	}
	if leaves && incarnation.leftAt.IsZero() {
		incarnation.leftAt = incarnation.runners.world.Now
	}
}

// send hands a call to the core that the life calls now; a refusal makes the next one come soon.
func (incarnation *runnerIncarnation) send(
	do func(now time.Time, host *Host, answer func(outcome registry.Outcome)),
	acked func(),
) {
	world := incarnation.runners.world
	cores := world.Cores()
	host := cores[incarnation.core%len(cores)]
	world.After(world.network.lag(), func() {
		host.reach(func() {
			sent := host.incarnation
			do(host.local(), host, func(outcome registry.Outcome) {
				world.After(world.network.lag(), func() {
					if host.incarnation != sent {
						return
					}
					if outcome == registry.Accepted || outcome == registry.Outdated {
						acked()
						return
					}
					incarnation.runners.Rejected++
					incarnation.core++
				})
			})
		})
	})
}

// drain has a life end as planned: it says so, serves on for a while after the acknowledgement, ends its
// registration and is gone.
func (incarnation *runnerIncarnation) drain() {
	world := incarnation.runners.world
	incarnation.state = registry.Draining
	incarnation.register(3)
	tried := world.Now
	var look func()
	look = func() {
		if incarnation.leftAt.IsZero() && world.Now.Sub(tried) < 6*time.Second {
			world.After(50*time.Millisecond, look)
			return
		}
		world.After(drainServe, func() {
			incarnation.send(func(now time.Time, host *Host, answer func(outcome registry.Outcome)) {
				host.core.node.Deregister(now, incarnation.id, answer)
			},
				func() { incarnation.recordAcknowledged(true) })
			world.After(200*time.Millisecond, incarnation.stop)
		})
	}
	look()
}

// stop stops a life without a word; its address goes to another one after a rest.
func (incarnation *runnerIncarnation) stop() {
	if !incarnation.running {
		return
	}
	world := incarnation.runners.world
	incarnation.running, incarnation.finishedAt = false, world.Now
	world.After(addressRest+time.Duration(world.random.Int63n(int64(3*time.Second))), func() {
		incarnation.runners.start(incarnation.address, incarnation.zone, []string{"s", "t"}[world.random.Intn(2)])
	})
}

// Start has lives end now and then, as planned or not.
func (registering *RegisteringRunners) Start(every time.Duration) {
	registering.Every = every
	registering.scheduleNext()
}

func (registering *RegisteringRunners) scheduleNext() {
	world := registering.world
	if registering.Every == 0 {
		return
	}
	var steady []*runnerIncarnation
	for _, incarnation := range registering.Incarnations {
		if incarnation.running && incarnation.state == registry.Ready && !incarnation.knownSince.IsZero() {
			steady = append(steady, incarnation)
		}
	}
	if len(steady) > 0 {
		incarnation := steady[world.random.Intn(len(steady))]
		ends := []func(){incarnation.drain, incarnation.drain, incarnation.stop}
		ends[world.random.Intn(len(ends))]()
	}
	world.After(registering.Every/2+time.Duration(world.random.Int63n(int64(registering.Every))),
		registering.scheduleNext)
}

// check looks at what a daemon that awards work goes by.
func (registering *RegisteringRunners) check(host *Host, runners []*wire.Runner) {
	checker, now := registering.world.Check, registering.world.Now
	listed := map[string]bool{}
	for _, runner := range runners {
		if registering.checkListed(host, runner) {
			listed[runner.RunnerId] = true
		}
	}
	if registering.KnownBound == 0 {
		return
	}
	for _, incarnation := range registering.Incarnations {
		if !incarnation.running || incarnation.state != registry.Ready || incarnation.knownSince.IsZero() ||
			listed[incarnation.id] {
			continue
		}
		missing := now.Sub(incarnation.knownSince)
		checker.recordWorst("a new runner unknown", missing)
		if missing > registering.KnownBound {
			checker.violation("runner-lost: %s does not list %s, which was first acknowledged %v ago and calls",
				host.Address, incarnation.id, missing)
		}
	}
}

// checkListed looks at one line of a daemon's list; it reports whether the daemon would use the runner.
func (registering *RegisteringRunners) checkListed(host *Host, runner *wire.Runner) bool {
	checker, incarnation := registering.world.Check, registering.byID[runner.RunnerId]
	if incarnation == nil {
		checker.violation("unknown-runner: %s lists %s, which nobody is", host.Address, runner.RunnerId)
		return false
	}
	if runner.State != registry.Ready && runner.State != registry.Cold {
		return false
	}
	if runner.Address != incarnation.address || runner.Service != incarnation.service {
		checker.violation("wrong-runner: %s has %s at %s", host.Address, runner.RunnerId, runner.Address)
	}
	if incarnation.leftAt.IsZero() {
		return true
	}
	late := registering.world.Now.Sub(incarnation.leftAt)
	checker.recordWorst("work to a runner that said it leaves", late)
	if !checker.daemons.mayIgnore(host, late, leaveKnown) {
		checker.violation("leaving-used: %s still uses %s, %v after its leaving was acknowledged", host.Address,
			runner.RunnerId, late)
	}
	return true
}

// checkFinalLists compares what every daemon lists with who is there, after a calm time.
func (registering *RegisteringRunners) checkFinalLists() {
	checker := registering.world.Check
	for _, host := range registering.world.Datas() {
		listed := map[string]bool{}
		for _, runner := range host.daemon.controller.Snapshot(host.local()).Runners {
			listed[runner.RunnerId] = true
			if incarnation := registering.byID[runner.RunnerId]; !incarnation.running &&
				runner.State != registry.Draining {
				checker.violation("dead-listed: %s lists %s as %s, which ended %v ago, call %d of %d", host.Address,
					runner.RunnerId, runner.State, registering.world.Now.Sub(incarnation.finishedAt), runner.Call,
					incarnation.call)
			}
		}
		for _, incarnation := range registering.Incarnations {
			if incarnation.running && !listed[incarnation.id] {
				checker.violation("runner-lost: %s does not list %s in a calm time", host.Address, incarnation.id)
			}
		}
	}
}

// PlayRegisteringRunners founds a deployment whose runners register themselves, does harm to it while they come and
// go, and sees whether everybody knows who is there in the end.
func PlayRegisteringRunners(seed int64, shape Shape, names []string, atOnce int, knownBound time.Duration) *World {
	world := Found(seed, shape, func(world *World) { startRegisteringRunners(world, 18, shape.Zones) })
	registering := world.RegisteringRunners
	world.Run(10 * time.Second)
	registering.KnownBound = knownBound
	registering.Start(time.Second)
	operators := startOperators(world, 3*time.Second)
	scheduleFaults(world, 40*time.Second, names, atOnce)
	world.Run(40*time.Second + time.Millisecond)
	registering.Every = 0
	world.Run(unresponsiveKnown)
	operators.Stop()
	if len(world.Check.Violations) == 0 {
		registering.checkFinalLists()
	}
	return world
}

// RegistryCost is what a core and a daemon sent in a second, in bytes, on average over each kind; Messages is of all
// processes.
type RegistryCost struct {
	Core, Daemon, Messages float64
}

// MeasureRegistry founds a fleet of so many daemons and runners and tells what its processes send: in a calm
// time, and while a runner is replaced about every so often.
func MeasureRegistry(seed int64, daemons, runners int, every time.Duration) (calm, release RegistryCost) {
	world := NewWorld(seed)
	zones := []string{"a", "b", "c"}
	seeds := make([]string, 0, len(zones))
	for _, zone := range zones {
		seeds = append(seeds, world.AddCore(zone+":core", zone).Address)
	}
	for number := range daemons {
		world.AddData(fmt.Sprintf("d%04d", number), zones[number%len(zones)])
	}
	world.SetSeeds(seeds)
	world.Platform.fill(1)
	registering := startRegisteringRunners(world, runners, zones)
	for _, host := range world.Hosts {
		world.After(time.Duration(world.random.Intn(500))*time.Millisecond, host.Boot)
	}
	world.Run(30 * time.Second)
	calm = measureCost(world, 10*time.Second)
	registering.Start(every)
	release = measureCost(world, 20*time.Second)
	return calm, release
}

// measureCost runs for a while and returns what was sent a second.
func measureCost(world *World, length time.Duration) RegistryCost {
	sum := func(hosts []*Host) (total uint64) {
		for _, host := range hosts {
			total += host.Sent
		}
		return total
	}
	cores, datas, messages := sum(world.Cores()), sum(world.Datas()), world.network.Messages
	world.Run(length)
	per := func(now, before uint64, count int) float64 {
		return float64(now-before) / float64(max(1, count)) / length.Seconds()
	}
	return RegistryCost{
		Core:     per(sum(world.Cores()), cores, len(world.Cores())),
		Daemon:   per(sum(world.Datas()), datas, len(world.Datas())),
		Messages: per(world.network.Messages, messages, len(world.Hosts)),
	}
}
