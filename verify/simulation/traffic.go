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

// Traffic is the request path of a world: its clients and runners, and the history of what they observed.
type Traffic struct {
	world  *World
	random *rand.Rand
	// Mix is the clients' workload, and the source of the operators' configurations; weights are those of its runners.
	Mix     loadtest.Mix
	weights string
	History *histories.History
	checker *histories.Checker
	// Rate is the number of requests per second, Hot the fraction of them that share one prefix.
	Rate, Hot float64
	// DisconnectsMidway is the fraction of the clients that disconnect in the middle of an answer, Disconnects that of
	// those that disconnect at any time, also before the request is read or before any event has arrived.
	DisconnectsMidway, Disconnects float64
	// Retries is the fraction of the requests that their clients send again to the same daemon, RetriesElsewhere that of
	// those sent again to any daemon. Undeclared is the fraction of the clients that don't declare whether a request is a
	// retry.
	Retries, RetriesElsewhere, Undeclared float64
	// terms are the newest terms that the clients of each zone have received.
	terms map[string]uint64
	// resent counts how often each request was sent again.
	resent map[string]int
	// overloadBursts counts the active faults that multiply the rate.
	overloadBursts int
	// number is that of the newest request; stopped ends new requests.
	number   int
	stopped  bool
	daemons  *daemonPicker
	capacity *capacitySampler
	drafter  *specDrafter
}

// startTraffic adds the request path: the given number of runners, and clients once Rate is above zero.
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
	traffic.History.Daemons, traffic.History.ZoneOf = len(world.Daemons()), map[string]string{}
	for _, host := range world.Daemons() {
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
	traffic.scheduleArrival()
	return traffic
}

// reportViolations moves the violations of the history's checker to the world's, so that a run stops at the first
// violated rule.
func (traffic *Traffic) reportViolations() {
	for _, violation := range traffic.checker.Violations {
		traffic.world.Check.violation("%s: %s", violation.Rule, violation.Detail)
	}
	traffic.checker.Violations = nil
}

// recordRun records a request that a runner has read.
func (traffic *Traffic) recordRun(run *histories.Run) {
	traffic.History.Runs = append(traffic.History.Runs, run)
	traffic.world.addToTrace(uint64(len(run.Request) + len(run.Runner)))
	traffic.checker.ObserveRun(run)
	traffic.reportViolations()
}

// scheduleArrival schedules the next request after an exponentially distributed time.
func (traffic *Traffic) scheduleArrival() {
	rate := traffic.Rate
	if traffic.overloadBursts > 0 {
		rate *= overloadFactor
	}
	gap := time.Duration(traffic.random.ExpFloat64() / max(rate, 1) * float64(time.Second))
	traffic.world.After(min(gap, time.Second), func() {
		if !traffic.stopped && rate > 0 {
			traffic.request()
		}
		traffic.scheduleArrival()
	})
}

// request sends one request of the workload.
func (traffic *Traffic) request() {
	traffic.number++
	drawn := traffic.Mix.Draw(traffic.random, traffic.Hot)
	drawn.ID = fmt.Sprintf("q%d", traffic.number)
	zone := traffic.History.Zones[traffic.random.Intn(len(traffic.History.Zones))]
	if traffic.random.Float64() >= traffic.Undeclared {
		drawn.Attempt, drawn.Term = 1, traffic.terms[zone]
	}
	sent := traffic.sendRequest(drawn, zone, traffic.daemons.pick(zone))
	if traffic.random.Float64() < traffic.DisconnectsMidway {
		sent.disconnectsAfter = 1 + traffic.random.Intn(4)
	}
	if traffic.Disconnects > 0 && traffic.random.Float64() < traffic.Disconnects {
		traffic.world.After(time.Duration(traffic.random.Int63n(int64(latestDisconnect))), sent.disconnect)
	}
	if traffic.random.Float64() < traffic.Retries {
		traffic.resend(drawn, sent)
	}
	if traffic.random.Float64() < traffic.RetriesElsewhere {
		traffic.resendElsewhere(drawn, zone)
	}
}

// learnTerm records the term that a response carries for the clients of a zone.
func (traffic *Traffic) learnTerm(zone, value string) {
	term, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		traffic.world.Check.violation("a response carries the malformed term %q", value)
	}
	traffic.terms[zone] = max(traffic.terms[zone], term)
}

const (
	// latestDisconnect is the latest time after sending its request at which a client disconnects.
	latestDisconnect = time.Second
	// overloadFactor is the factor by which an overload raises the rate.
	overloadFactor = 5
)

// recordFault records a fault of a daemon or a runner; the returned function records its end.
func (traffic *Traffic) recordFault(host *Host, impact impact) (end func()) {
	record, now := traffic.History, traffic.world.Now
	fault := histories.Fault{At: now, Until: now.Add(time.Hour),
		LosesRequests: impact.kills, DetectionTime: impact.detectableAfter}
	if host.runner != nil {
		fault.Runner = host.runner.engine.id
	} else {
		fault.Daemon = host.Address
	}
	record.Faults = append(record.Faults, fault)
	index := len(record.Faults) - 1
	return func() { record.Faults[index].Until = traffic.world.Now }
}

// End records the final state and checks the complete history.
func (traffic *Traffic) End() {
	traffic.History.Final = finalState(traffic.world)
	traffic.checker.Finish()
	traffic.reportViolations()
}

// finalState returns the newest configuration and the outcomes of all operations that any control machine has.
func finalState(world *World) histories.Final {
	final := histories.Final{WasRead: true, Known: map[string]uint64{}}
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

// Counts returns the number of answers by result, and the number of runs.
func (traffic *Traffic) Counts() map[string]int {
	counts := map[string]int{}
	for _, attempt := range traffic.History.Answers {
		name := attempt.Kind
		if attempt.Done {
			name = "done"
		}
		if attempt.ConnectionLost {
			name = "lost"
		}
		if attempt.ClientDisconnected {
			name = "hung up"
		}
		if attempt.Resent {
			name = "sent again: " + name
		}
		counts[name]++
	}
	counts["runs"] = len(traffic.History.Runs)
	return counts
}

// Summary returns the counts in one line.
func (traffic *Traffic) Summary() string { return fmt.Sprint(traffic.Counts()) }
