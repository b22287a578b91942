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
	leaveKnown  = 2 * time.Second
	drainServe  = 2500 * time.Millisecond
	addressRest = 2 * time.Second
	coldAtStart = 1500 * time.Millisecond
	silentKnown = 20 * time.Second
)

// Callers are runners that register themselves at the cores, with what is known of each life.
type Callers struct {
	world        *World
	incarnations int
	Incarnations []*callerIncarnation
	// Events is about how often one of them leaves, crashes, or is replaced; none while it is 0.
	Events time.Duration
	// Kept is from when on a runner that calls must be listed by every daemon that awards work, after its first
	// acknowledgement; 0: no daemon must, since cores are cut apart.
	Kept time.Duration
	byID map[string]*callerIncarnation
	// Acks and Refusals count the answers to calls.
	Acks, Refusals int
}

// callerIncarnation is one life of a runner.
type callerIncarnation struct {
	callers *Callers
	id      string
	address string
	zone    string
	service string
	started time.Time
	call    uint64
	core    int
	state   string
	running bool
	// wait is the call under way.
	wait uint64
	// known is when a call was first acknowledged, left when it was that it drains or is gone, ended when it
	// stopped without a word or with one.
	known, left, finished time.Time
}

// StartCallers brings in so many runners.
func (world *World) StartCallers(count int, zones []string) *Callers {
	callers := &Callers{world: world, byID: map[string]*callerIncarnation{}}
	world.Callers = callers
	for number := range count {
		callers.begin(fmt.Sprintf("10.9.0.%d:80", number), zones[number%len(zones)], "s")
	}
	return callers
}

func (callers *Callers) begin(address, zone, service string) {
	callers.incarnations++
	incarnation := &callerIncarnation{callers: callers, id: fmt.Sprintf("q%d", callers.incarnations), address: address, zone: zone, service: service, started: callers.world.Now,
		core: callers.world.random.Intn(64), state: registry.Ready, running: true}
	callers.Incarnations = append(callers.Incarnations, incarnation)
	callers.byID[incarnation.id] = incarnation
	callers.world.After(time.Duration(callers.world.random.Int63n(int64(callEvery))), incarnation.heartbeat)
}

// heartbeat calls now and again after a while.
func (incarnation *callerIncarnation) heartbeat() {
	if !incarnation.running {
		return
	}
	incarnation.tell(2)
	world := incarnation.callers.world
	world.After(callEvery*9/10+time.Duration(world.random.Int63n(int64(callEvery/5))), incarnation.heartbeat)
}

// line is what the runner tells of itself now.
func (incarnation *callerIncarnation) line() *wire.Runner {
	line := &wire.Runner{RunnerId: incarnation.id, Address: incarnation.address, Zone: incarnation.zone, Service: incarnation.service, Slots: 4, State: incarnation.state, Call: incarnation.call}
	if cold := coldAtStart - incarnation.callers.world.Now.Sub(incarnation.started); cold > 0 && incarnation.state == registry.Ready {
		line.State, line.SlowStartMilliseconds = registry.Cold, uint32(cold/time.Millisecond)
	}
	return line
}

// tell calls a core, and others if that does not acknowledge.
func (incarnation *callerIncarnation) tell(more int) {
	incarnation.call++
	call, line := incarnation.call, incarnation.line()
	incarnation.wait = call
	draining := incarnation.state == registry.Draining
	incarnation.send(func(now time.Time, host *Host, answer func(outcome registry.Outcome)) {
		host.node.Register(now, line, answer)
	}, func() {
		if incarnation.wait == call {
			incarnation.wait = 0
		}
		incarnation.acked(draining)
	})
	world := incarnation.callers.world
	// A copy may be long on its way and come to a core that has heard nothing else of this life.
	if world.random.Intn(8) == 0 {
		world.After(time.Duration(world.random.Int63n(int64(4*time.Second))), func() {
			host := world.pick(world.Cores())
			world.reach(host, func() { host.node.Register(world.local(host), line, func(registry.Outcome) {}) })
		})
	}
	world.After(ackBound, func() {
		if incarnation.wait == call && incarnation.running && more > 0 {
			incarnation.core++
			incarnation.tell(more - 1)
		}
	})
}

// acked notes what an acknowledgement promises.
func (incarnation *callerIncarnation) acked(leaves bool) {
	incarnation.callers.Acks++
	if incarnation.known.IsZero() {
		incarnation.known = incarnation.callers.world.Now
	}
	if leaves && incarnation.left.IsZero() {
		incarnation.left = incarnation.callers.world.Now
	}
}

// send hands a call to the core that the life calls now; a refusal makes the next one come soon.
func (incarnation *callerIncarnation) send(do func(now time.Time, host *Host, answer func(outcome registry.Outcome)), acked func()) {
	world := incarnation.callers.world
	cores := world.Cores()
	host := cores[incarnation.core%len(cores)]
	way := func() time.Duration { return world.Delay + time.Duration(world.random.Int63n(int64(world.Jitter)+1)) }
	world.After(way(), func() {
		world.reach(host, func() {
			sent := host.incarnation
			do(world.local(host), host, func(outcome registry.Outcome) {
				world.After(way(), func() {
					if host.incarnation != sent {
						return
					}
					if outcome == registry.Taken || outcome == registry.Late {
						acked()
						return
					}
					incarnation.callers.Refusals++
					incarnation.core++
				})
			})
		})
	})
}

// reach runs something at a host, if it is there.
func (world *World) reach(host *Host, do func()) {
	if !host.up || host.dark || host.frozen && len(host.held) >= heldMost {
		return
	}
	world.on(host, host.incarnation, do)
}

// drain has a life end as planned: it says so, serves on for a while after the acknowledgement, ends its
// registration and is gone.
func (incarnation *callerIncarnation) drain() {
	world := incarnation.callers.world
	incarnation.state = registry.Draining
	incarnation.tell(3)
	tried := world.Now
	var look func()
	look = func() {
		if incarnation.left.IsZero() && world.Now.Sub(tried) < 6*time.Second {
			world.After(50*time.Millisecond, look)
			return
		}
		world.After(drainServe, func() {
			incarnation.send(func(now time.Time, host *Host, answer func(outcome registry.Outcome)) {
				host.node.Deregister(now, incarnation.id, answer)
			},
				func() { incarnation.acked(true) })
			world.After(200*time.Millisecond, incarnation.end)
		})
	}
	look()
}

// end stops a life without a word; its address goes to another one after a rest.
func (incarnation *callerIncarnation) end() {
	if !incarnation.running {
		return
	}
	world := incarnation.callers.world
	incarnation.running, incarnation.finished = false, world.Now
	world.After(addressRest+time.Duration(world.random.Int63n(int64(3*time.Second))), func() {
		incarnation.callers.begin(incarnation.address, incarnation.zone, []string{"s", "t"}[world.random.Intn(2)])
	})
}

// Start has lives end now and then, as planned or not.
func (callers *Callers) Start(every time.Duration) {
	callers.Events = every
	callers.next()
}

func (callers *Callers) next() {
	world := callers.world
	if callers.Events == 0 {
		return
	}
	var steady []*callerIncarnation
	for _, incarnation := range callers.Incarnations {
		if incarnation.running && incarnation.state == registry.Ready && !incarnation.known.IsZero() {
			steady = append(steady, incarnation)
		}
	}
	if len(steady) > 0 {
		incarnation := steady[world.random.Intn(len(steady))]
		ends := []func(){incarnation.drain, incarnation.drain, incarnation.end}
		ends[world.random.Intn(len(ends))]()
	}
	world.After(callers.Events/2+time.Duration(world.random.Int63n(int64(callers.Events))), callers.next)
}

// check looks at what a daemon that awards work goes by.
func (callers *Callers) check(host *Host, runners []*wire.Runner) {
	checker, now := callers.world.Check, callers.world.Now
	listed := map[string]bool{}
	for _, runner := range runners {
		if callers.checkListed(host, runner) {
			listed[runner.RunnerId] = true
		}
	}
	if callers.Kept == 0 {
		return
	}
	for _, incarnation := range callers.Incarnations {
		if !incarnation.running || incarnation.state != registry.Ready || incarnation.known.IsZero() || listed[incarnation.id] {
			continue
		}
		missing := now.Sub(incarnation.known)
		checker.worst("a new runner unknown", missing)
		if missing > callers.Kept {
			checker.broken("runner-lost: %s does not list %s, which was first acknowledged %v ago and calls", host.Address, incarnation.id, missing)
		}
	}
}

// checkListed looks at one line of a daemon's list; it tells whether the daemon would use the runner.
func (callers *Callers) checkListed(host *Host, runner *wire.Runner) bool {
	checker, incarnation := callers.world.Check, callers.byID[runner.RunnerId]
	if incarnation == nil {
		checker.broken("unknown-runner: %s lists %s, which nobody is", host.Address, runner.RunnerId)
		return false
	}
	if runner.State != registry.Ready && runner.State != registry.Cold {
		return false
	}
	if runner.Address != incarnation.address || runner.Service != incarnation.service {
		checker.broken("wrong-runner: %s has %s at %s", host.Address, runner.RunnerId, runner.Address)
	}
	if incarnation.left.IsZero() {
		return true
	}
	late := callers.world.Now.Sub(incarnation.left)
	checker.worst("work to a runner that said it leaves", late)
	if !checker.mayIgnore(host, late, leaveKnown) {
		checker.broken("leaving-used: %s still uses %s, %v after its leaving was acknowledged", host.Address, runner.RunnerId, late)
	}
	return true
}

// truth compares what every daemon lists with who is there, after a calm time.
func (callers *Callers) truth() {
	checker := callers.world.Check
	for _, host := range callers.world.Datas() {
		listed := map[string]bool{}
		for _, runner := range host.data.Snapshot(callers.world.local(host)).Runners {
			listed[runner.RunnerId] = true
			if incarnation := callers.byID[runner.RunnerId]; !incarnation.running && runner.State != registry.Draining {
				checker.broken("dead-listed: %s lists %s as %s, which ended %v ago, call %d of %d", host.Address, runner.RunnerId, runner.State,
					callers.world.Now.Sub(incarnation.finished), runner.Call, incarnation.call)
			}
		}
		for _, incarnation := range callers.Incarnations {
			if incarnation.running && !listed[incarnation.id] {
				checker.broken("runner-lost: %s does not list %s in a calm time", host.Address, incarnation.id)
			}
		}
	}
}

// CallerFaults are the kinds of harm that only concern runners that register themselves.
var CallerFaults = map[string]func(world *World) (undo func()){
	"control lost": func(world *World) func() {
		for _, host := range world.Cores() {
			world.Kill(host)
		}
		return func() {
			for _, host := range world.Cores() {
				world.Boot(host)
			}
		}
	},
}

// PlayCallers founds a deployment whose runners register themselves, does harm to it while they come and
// go, and sees whether everybody knows who is there in the end.
func PlayCallers(seed int64, shape Shape, names []string, atOnce int, kept time.Duration) *World {
	world := Found(seed, shape, func(world *World) { world.StartCallers(18, shape.Zones) })
	callers := world.Callers
	world.Run(10 * time.Second)
	callers.Kept = kept
	callers.Start(time.Second)
	operators := world.StartOperators(3 * time.Second)
	world.Schedule(40*time.Second, names, atOnce)
	world.Run(40*time.Second + time.Millisecond)
	callers.Events = 0
	world.Run(silentKnown)
	operators.Stop()
	if len(world.Check.Broken) == 0 {
		callers.truth()
	}
	return world
}

// RegistryCost is what a core and a daemon sent in a second, in bytes, on average over each kind; Messages is of all processes.
type RegistryCost struct {
	Core, Daemon, Messages float64
}

// MeasureCallers founds a fleet of so many daemons and runners and tells what its processes send: in a calm
// time, and while a runner is replaced about every so often.
func MeasureCallers(seed int64, daemons, runners int, every time.Duration) (calm, release RegistryCost) {
	world := NewWorld(seed)
	zones := []string{"a", "b", "c"}
	var seeds []string
	for _, zone := range zones {
		seeds = append(seeds, world.AddCore(zone+":core", zone).Address)
	}
	for number := range daemons {
		world.AddData(fmt.Sprintf("d%04d", number), zones[number%len(zones)])
	}
	world.SetSeeds(seeds)
	world.Platform.fill(1)
	callers := world.StartCallers(runners, zones)
	for _, host := range world.Hosts {
		booted := host
		world.After(time.Duration(world.random.Intn(500))*time.Millisecond, func() { world.Boot(booted) })
	}
	world.Run(30 * time.Second)
	calm = world.cost(10 * time.Second)
	callers.Start(every)
	release = world.cost(20 * time.Second)
	return calm, release
}

// cost runs for a while and tells what was sent a second.
func (world *World) cost(length time.Duration) RegistryCost {
	sum := func(hosts []*Host) (total uint64) {
		for _, host := range hosts {
			total += host.Sent
		}
		return total
	}
	cores, datas, messages := sum(world.Cores()), sum(world.Datas()), world.Messages
	world.Run(length)
	per := func(now, before uint64, count int) float64 {
		return float64(now-before) / float64(max(1, count)) / length.Seconds()
	}
	return RegistryCost{Core: per(sum(world.Cores()), cores, len(world.Cores())), Daemon: per(sum(world.Datas()), datas, len(world.Datas())),
		Messages: per(world.Messages, messages, len(world.Hosts))}
}
