package simulation

import (
	"fmt"
	"time"
)

// unresponsiveBound is how long a loss of which nobody says anything may take to be known.
const unresponsiveBound = 4 * time.Second

// impact is what a fault means for the requests at the daemons and runners that it touches.
type impact struct {
	// kills means that it ends their processes.
	kills bool
	// knowable is after what time others can know of it; 0: at once.
	knowable time.Duration
}

// faultInjector chooses what faults are done to, does those that several kinds of fault share, and records them: in the
// world's log, and for the checker of the request path where there is one.
type faultInjector struct {
	world *World
	// replacements counts the core machines that were started at a new address, returns the times that all machines were
	// back.
	replacements, returns int
}

// The operations of whoever sends changes after a return of all machines are numbered from firstReturn on, for each
// return so many.
const (
	firstReturn         = 700_000
	operationsPerReturn = 1000
)

// nextReturn returns the number from which the operations after a return of all machines are counted. No two returns
// share any, also where they come at once: one id stands for one change.
func (injector *faultInjector) nextReturn() int {
	injector.returns++
	return firstReturn + operationsPerReturn*injector.returns
}

// log notes what is done, or undone, and when.
func (injector *faultInjector) log(format string, values ...any) {
	world := injector.world
	passed := world.Now.Sub(world.started).Round(time.Millisecond)
	world.Log = append(world.Log, fmt.Sprintf("%v "+format, append([]any{passed}, values...)...))
}

// record tells the checker of the request path, where there is one, that a fault touches daemons and runners. The
// function that it returns records the fault's end.
func (injector *faultInjector) record(impact impact, hosts ...*Host) (end func()) {
	traffic := injector.world.Traffic
	if traffic == nil {
		return func() {}
	}
	var ends []func()
	for _, host := range hosts {
		if host.core == nil {
			ends = append(ends, traffic.recordFault(host, impact))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// head returns the core that leads, or any if none does.
func (injector *faultInjector) head() *Host {
	cores := injector.world.Cores()
	for _, host := range cores {
		if host.core.isLeading() {
			return host
		}
	}
	return injector.world.pick(cores)
}

// runner draws a runner, one that is up and not frozen if there is any.
func (injector *faultInjector) runner() *Host {
	world := injector.world
	var running []*Host
	for _, host := range world.Runners() {
		if host.up && !host.frozen {
			running = append(running, host)
		}
	}
	if len(running) == 0 {
		return world.pick(world.Runners())
	}
	return world.pick(running)
}

// shuffled puts hosts into a random order, in place, and returns them.
func (injector *faultInjector) shuffled(hosts []*Host) []*Host {
	injector.world.random.Shuffle(len(hosts),
		func(left, right int) { hosts[left], hosts[right] = hosts[right], hosts[left] })
	return hosts
}

// halves parts the zones into two sides at random.
func (injector *faultInjector) halves() (left, right []*Host) {
	world := injector.world
	first := world.pick(world.Cores()).Zone
	for _, host := range world.Hosts {
		if host.Zone == first || host.Zone == "d" && first != "d" {
			left = append(left, host)
		} else {
			right = append(right, host)
		}
	}
	return left, right
}

// restart ends processes one after the other within a second, each for a moment.
func (injector *faultInjector) restart(hosts []*Host) {
	world := injector.world
	for _, host := range hosts {
		world.After(time.Duration(world.random.Int63n(int64(time.Second))), func() { injector.restartOne(host) })
	}
}

// restartOne ends a process, if it runs, and starts it again a moment later, unless something else did.
func (injector *faultInjector) restartOne(host *Host) {
	world := injector.world
	if !host.up || host.frozen {
		return
	}
	end := injector.record(impact{kills: true}, host)
	host.Kill()
	incarnation := host.incarnation
	world.After(200*time.Millisecond+time.Duration(world.random.Int63n(int64(200*time.Millisecond))), func() {
		end()
		if host.incarnation == incarnation {
			host.Boot()
		}
	})
}

// addReplacement adds a core machine with an empty disk at a new address, which takes another one's place. It is not
// started yet.
func (injector *faultInjector) addReplacement(old *Host) *Host {
	injector.replacements++
	host := injector.world.AddCore(fmt.Sprintf("%s+%d", old.Address, injector.replacements), old.Zone)
	host.core.hasStarted = true
	injector.world.topology.join(host, injector.world.Hosts)
	injector.shuffleSeeds()
	return host
}

// shuffleSeeds gives every process, from its next start on, other seeds out of the present core machines.
func (injector *faultInjector) shuffleSeeds() {
	const seedsEach = 3
	world := injector.world
	cores := world.Cores()
	addresses := make([]string, 0, len(cores))
	for _, host := range cores {
		addresses = append(addresses, host.Address)
	}
	for _, host := range world.Hosts {
		seeds := append([]string{}, addresses...)
		world.random.Shuffle(len(seeds),
			func(left, right int) { seeds[left], seeds[right] = seeds[right], seeds[left] })
		host.seeds = seeds[:min(seedsEach, len(seeds))]
	}
}
