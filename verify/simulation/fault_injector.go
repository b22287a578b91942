package simulation

import (
	"fmt"
	"time"

	"wardtray/verify/histories"
)

// unresponsiveBound is the longest time until a loss that nobody reports is detected.
const unresponsiveBound = histories.SilentDetectionTime

// impact describes how a fault affects the requests at its daemons and runners.
type impact struct {
	// kills means that it ends their processes.
	kills bool
	// detectableAfter is the time after which others can detect it; 0: at once.
	detectableAfter time.Duration
}

// faultInjector chooses the targets of faults, implements what several kinds of fault share, and records faults in the
// world's log and, where there is a request path, for its checker.
type faultInjector struct {
	world *World
	// replacements counts the control machines that were started at a new address, returns the times that all machines
	// came back after a power loss.
	replacements, returns int
}

// The operators that send changes after all machines have come back number their operations from firstReturnOperation,
// with operationsPerReturn numbers for each return.
const (
	firstReturnOperation = 700_000
	operationsPerReturn  = 1000
)

// nextReturn returns the offset of the operation numbers after a return of all machines. Two returns share no number,
// even when they happen at the same time: one operation id stands for one change.
func (injector *faultInjector) nextReturn() int {
	injector.returns++
	return firstReturnOperation + operationsPerReturn*injector.returns
}

// log records a fault, or its end, with the simulated time.
func (injector *faultInjector) log(format string, values ...any) {
	world := injector.world
	passed := world.Now.Sub(world.started).Round(time.Millisecond)
	world.Log = append(world.Log, fmt.Sprintf("%v "+format, append([]any{passed}, values...)...))
}

// record records, where there is a request path, that a fault affects daemons and runners. The returned function
// records the fault's end.
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

// head returns the head of the chain, or a random control machine if none leads.
func (injector *faultInjector) head() *Host {
	cores := injector.world.Cores()
	for _, host := range cores {
		if host.core.isLeading() {
			return host
		}
	}
	return injector.world.pick(cores)
}

// runner returns a random runner, one that runs and is not frozen if there is any.
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

// shuffled shuffles hosts in place and returns them.
func (injector *faultInjector) shuffled(hosts []*Host) []*Host {
	injector.world.random.Shuffle(len(hosts),
		func(left, right int) { hosts[left], hosts[right] = hosts[right], hosts[left] })
	return hosts
}

// halves splits the zones into two random groups and returns their hosts.
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

// restart restarts processes, each at a random time within a second.
func (injector *faultInjector) restart(hosts []*Host) {
	world := injector.world
	for _, host := range hosts {
		world.After(time.Duration(world.random.Int63n(int64(time.Second))), func() { injector.restartOne(host) })
	}
}

// restartOne kills a running process and starts it again 200 to 400 ms later, unless something else has by then.
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

// addReplacement adds a control machine with an empty disk at a new address, in place of another one. It is not started
// yet.
func (injector *faultInjector) addReplacement(old *Host) *Host {
	injector.replacements++
	host := injector.world.AddCore(fmt.Sprintf("%s+%d", old.Address, injector.replacements), old.Zone)
	host.core.hasStarted = true
	injector.world.topology.join(host, injector.world.Hosts)
	injector.shuffleSeeds()
	return host
}

// shuffleSeeds gives every process random seeds out of the present control machines, which it uses from its next start.
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
