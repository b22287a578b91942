package simulation

import (
	"fmt"
	"math/rand"
	"strconv"
	"time"

	"wardtray/config"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// Traffic is the request path of a world: clients, runners, and what all of them saw.
type Traffic struct {
	world  *World
	random *rand.Rand
	// Mix is what the clients send, and what the operators' configurations say of it; weights are those of its runners.
	Mix     loadtest.Mix
	weights string
	History *histories.History
	checker *histories.Checker
	// Rate is how many requests come a second, Hot the part of them that share one prefix.
	Rate, Hot float64
	// HangUpsMidway is the part of the clients that hang up in the middle, HangUps that of those that hang up at any
	// moment, also before they are read and while nothing has come.
	HangUpsMidway, HangUps float64
	// Retries is the part of the requests that their clients send again to the same daemon, RetriesElsewhere that of those
	// sent again to any daemon. Undeclared is the part of the clients that don't say whether they send a request again.
	Retries, RetriesElsewhere, Undeclared float64
	// terms are the newest that the clients of each zone have heard of.
	terms map[string]uint64
	// resent counts how often each request was sent again.
	resent map[string]int
	// overloadBursts counts the faults that multiply the rate now.
	overloadBursts int
	// number is that of the newest request; none comes any more when the traffic is stopped.
	number   int
	stopped  bool
	daemons  *daemonPicker
	capacity *capacitySampler
	drafter  *specDrafter
}

// startTraffic brings the request path in: so many runners, and clients once Rate is above zero.
func startTraffic(world *World, mix loadtest.Mix, zones []string, runners int) *Traffic {
	traffic := &Traffic{
		world:   world,
		random:  rand.New(rand.NewSource(world.random.Int63())),
		Mix:     mix,
		weights: mix.Weights,
		History: histories.New(),
		terms:   map[string]uint64{},
		resent:  map[string]int{},
	}
	world.Traffic = traffic
	traffic.History.Started, traffic.History.Zones = world.Now, zones
	traffic.History.Service, traffic.History.Weights = mix.Service, mix.Weights
	traffic.History.Daemons, traffic.History.ZoneOf = len(world.Datas()), map[string]string{}
	for _, host := range world.Datas() {
		traffic.History.ZoneOf[host.Address] = host.Zone
	}
	traffic.checker = histories.NewChecker(traffic.History, world.Check.outcomes.committed)
	traffic.daemons = newDaemonPicker(world, traffic.random)
	traffic.capacity = newCapacitySampler(world, traffic.History)
	traffic.drafter = newSpecDrafter(traffic.random, mix, zones)
	for number := range runners {
		world.AddRunner(fmt.Sprintf("r%02d", number), zones[number%len(zones)])
	}
	world.Platform.publish()
	traffic.daemons.update()
	traffic.capacity.sample()
	traffic.arrive()
	return traffic
}

// reportViolations passes what the history's checker found to the world's, so that a run stops at its first broken
// rule.
func (traffic *Traffic) reportViolations() {
	for _, violation := range traffic.checker.Violations {
		traffic.world.Check.violation("%s: %s", violation.Rule, violation.Detail)
	}
	traffic.checker.Violations = nil
}

// recordRun takes in a request that a runner has read.
func (traffic *Traffic) recordRun(run *histories.Run) {
	traffic.History.Runs = append(traffic.History.Runs, run)
	traffic.world.addToTrace(uint64(len(run.Request) + len(run.Runner)))
	traffic.checker.ObserveRun(run)
	traffic.reportViolations()
}

// arrive lets requests come at random moments.
func (traffic *Traffic) arrive() {
	rate := traffic.Rate
	if traffic.overloadBursts > 0 {
		rate *= overloadFactor
	}
	gap := time.Duration(traffic.random.ExpFloat64() / max(rate, 1) * float64(time.Second))
	traffic.world.After(min(gap, time.Second), func() {
		if !traffic.stopped && rate > 0 {
			traffic.request()
		}
		traffic.arrive()
	})
}

// request sends one request of the mix.
func (traffic *Traffic) request() {
	traffic.number++
	drawn := traffic.Mix.Draw(traffic.random, traffic.Hot)
	drawn.ID = fmt.Sprintf("q%d", traffic.number)
	zone := traffic.History.Zones[traffic.random.Intn(len(traffic.History.Zones))]
	if traffic.random.Float64() >= traffic.Undeclared {
		drawn.Attempt, drawn.Term = 1, traffic.terms[zone]
	}
	one := traffic.sendRequest(drawn, zone, traffic.daemons.pick(zone))
	if traffic.random.Float64() < traffic.HangUpsMidway {
		one.hangsUpAfter = 1 + traffic.random.Intn(4)
	}
	if traffic.HangUps > 0 && traffic.random.Float64() < traffic.HangUps {
		traffic.world.After(time.Duration(traffic.random.Int63n(int64(latestLeave))), one.hangUp)
	}
	if traffic.random.Float64() < traffic.Retries {
		traffic.resend(drawn, one)
	}
	if traffic.random.Float64() < traffic.RetriesElsewhere {
		traffic.resendElsewhere(drawn, zone)
	}
}

// learnTerm has the clients of a zone hear of a term.
func (traffic *Traffic) learnTerm(zone, value string) {
	term, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		traffic.world.Check.violation("a response names the term %q", value)
	}
	traffic.terms[zone] = max(traffic.terms[zone], term)
}

const (
	// latestLeave is how long after sending its request a client that leaves does so at the latest.
	latestLeave = time.Second
	// overloadFactor is by how much more requests come during an overload.
	overloadFactor = 5
)

// recordFault records that something touches a daemon or a runner, and returns what ends it.
func (traffic *Traffic) recordFault(host *Host, impact impact) (end func()) {
	record, now := traffic.History, traffic.world.Now
	fault := histories.Fault{At: now, Until: now.Add(time.Hour), Kills: impact.kills, Knowable: impact.knowable}
	if host.runner != nil {
		fault.Runner = host.runner.engine.id
	} else {
		fault.Daemon = host.Address
	}
	record.Faults = append(record.Faults, fault)
	index := len(record.Faults) - 1
	return func() { record.Faults[index].Until = traffic.world.Now }
}

// End reads the final state and checks the whole history.
func (traffic *Traffic) End() {
	traffic.History.Final = finalState(traffic.world)
	traffic.checker.Finish()
	traffic.reportViolations()
}

// finalState is the newest configuration and the outcomes of all operations that any core has.
func finalState(world *World) histories.Final {
	final := histories.Final{Asked: true, Known: map[string]uint64{}}
	for _, host := range world.Cores() {
		if host.core.node == nil {
			continue
		}
		document := host.core.node.Chain().Committed()
		if document.SpecEpoch < final.Epoch {
			continue
		}
		final.Epoch = document.SpecEpoch
		for _, outcome := range document.Outcomes {
			final.Known[outcome.Operation] = outcome.SpecEpoch
		}
		if parsed, err := config.Parse(document.Spec); err == nil {
			final.Routes = routeNames(parsed)
		}
	}
	return final
}

// routeNames returns the names of a configuration's routes.
func routeNames(spec *config.Spec) []string {
	names := make([]string, 0, len(spec.Routes))
	for _, route := range spec.Routes {
		names = append(names, route.Name)
	}
	return names
}

// Counts tells what clients got.
func (traffic *Traffic) Counts() map[string]int {
	counts := map[string]int{}
	for _, answer := range traffic.History.Answers {
		name := answer.Kind
		if answer.Done {
			name = "done"
		}
		if answer.ConnectionLost {
			name = "lost"
		}
		if answer.HungUp {
			name = "hung up"
		}
		if answer.Resent {
			name = "sent again: " + name
		}
		counts[name]++
	}
	counts["runs"] = len(traffic.History.Runs)
	return counts
}

// Summary tells the same in one line.
func (traffic *Traffic) Summary() string { return fmt.Sprint(traffic.Counts()) }
