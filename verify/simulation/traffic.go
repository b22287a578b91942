package simulation

import (
	"fmt"
	"math/rand"
	"time"

	"wardtray/config"
	"wardtray/verify/emulator"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// Traffic is the request path of a world: clients, runners, and what all of them saw.
type Traffic struct {
	world          *World
	random         *rand.Rand
	Mix            loadtest.Mix
	Rate           float64
	Hot            float64
	History        *histories.History
	checker        *histories.Checker
	number         int
	overloadBursts int
	stopped        bool
	eligible       map[string]bool
	readySince     map[string]time.Time
	weights        string
	specs          map[string]*config.Spec
	// Uneven sends most clients of a zone to one of its daemons.
	Uneven bool
	// TakeAway is the part of the operators' specs that take away what requests need.
	TakeAway float64
	// HangUpsMidway is the part of the clients that hang up in the middle, Leaves that of those that hang up at any
	// moment, also before they are read and while nothing has come.
	HangUpsMidway, HangUps float64
	// Retries is the part of the requests that their clients send again.
	Retries float64
}

// startTraffic brings the request path in: so many runners, and clients once Rate is above zero.
func startTraffic(world *World, mix loadtest.Mix, zones []string, runners int) *Traffic {
	traffic := &Traffic{
		world:      world,
		random:     rand.New(rand.NewSource(world.random.Int63())),
		Mix:        mix,
		History:    histories.New(),
		eligible:   map[string]bool{},
		readySince: map[string]time.Time{},
		weights:    mix.Weights,
		specs:      map[string]*config.Spec{},
	}
	world.Traffic = traffic
	traffic.History.Started, traffic.History.Zones = world.Now, zones
	traffic.History.Service, traffic.History.Weights = mix.Service, mix.Weights
	traffic.History.Daemons = len(world.Datas())
	traffic.checker = histories.NewChecker(traffic.History, world.Check.outcomes.committed)
	for number := range runners {
		world.AddRunner(fmt.Sprintf("r%02d", number), zones[number%len(zones)])
	}
	world.Platform.publish()
	traffic.updateEligible()
	traffic.sampleCapacity()
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

func (traffic *Traffic) recordRun(run *histories.Run) {
	traffic.History.Runs = append(traffic.History.Runs, run)
	traffic.world.addToTrace(uint64(len(run.Request) + len(run.Runner)))
	traffic.checker.ObserveRun(run)
	traffic.reportViolations()
}

// updateEligible is the platform's opinion of the daemons; it trails the truth.
func (traffic *Traffic) updateEligible() {
	for _, host := range traffic.world.Datas() {
		traffic.eligible[host.Address] = host.up && !host.frozen && host.daemon.plane.Ready()
	}
	traffic.world.After(emulator.ListLag, traffic.updateEligible)
}

// sampleCapacity notes again and again how much room the backend truly has.
func (traffic *Traffic) sampleCapacity() {
	traffic.recordCapacity()
	traffic.world.After(100*time.Millisecond, traffic.sampleCapacity)
}

// recordCapacity takes the backend's room by what each runner is and how it is listed.
func (traffic *Traffic) recordCapacity() {
	world := traffic.world
	listed := map[string]bool{}
	for _, runner := range world.Platform.listed {
		if runner.State != "ready" {
			continue
		}
		if traffic.readySince[runner.RunnerId].IsZero() {
			traffic.readySince[runner.RunnerId] = world.Now
		}
		listed[runner.RunnerId] = world.Now.Sub(traffic.readySince[runner.RunnerId]) >= warmUpAllowance
	}
	room := histories.CapacitySample{At: world.Now, Free: map[string]int{}, Slots: map[string]int{}}
	for _, host := range world.Runners() {
		engine := host.runner.engine
		well := host.up && !host.frozen && engine.servesRequests()
		if well && listed[engine.id] && !engine.warmingUp() && traffic.reachable(host) {
			room.Free[host.Zone] += max(0, engine.profile.Slots-engine.active)
			room.Slots[host.Zone] += engine.profile.Slots
		}
	}
	traffic.History.CapacitySamples = append(traffic.History.CapacitySamples, room)
}

// warmUpAllowance is how long after it is listed as ready a runner is used in full: daemons can't know
// sooner that it is warm, and take it up step by step.
const warmUpAllowance = 6 * time.Second

// reachable reports whether most daemons can talk to a runner.
func (traffic *Traffic) reachable(runner *Host) bool {
	reached, all := 0, 0
	for _, host := range traffic.world.Datas() {
		all++
		if traffic.world.topology.passes(host, runner) && traffic.world.topology.passes(runner, host) {
			reached++
		}
	}
	return reached*2 > all
}

// pick returns a daemon that the platform takes to be fit, in the client's zone if there is one.
func (traffic *Traffic) pick(zone string) *Host {
	var near, far []*Host
	for _, host := range traffic.world.Datas() {
		if traffic.eligible[host.Address] && host.Zone == zone {
			near = append(near, host)
		}
		if traffic.eligible[host.Address] && host.Zone != zone {
			far = append(far, host)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	if traffic.Uneven && traffic.random.Float64() < 0.8 {
		return near[0]
	}
	return near[traffic.random.Intn(len(near))]
}

// arrive lets requests come at random moments.
func (traffic *Traffic) arrive() {
	rate := traffic.Rate
	if traffic.overloadBursts > 0 {
		rate *= 5
	}
	gap := time.Duration(traffic.random.ExpFloat64() / max(rate, 1) * float64(time.Second))
	traffic.world.After(min(gap, time.Second), func() {
		if !traffic.stopped && rate > 0 {
			traffic.request()
		}
		traffic.arrive()
	})
}

func (traffic *Traffic) request() {
	traffic.number++
	drawn := traffic.Mix.Draw(traffic.random, traffic.Hot)
	drawn.ID = fmt.Sprintf("q%d", traffic.number)
	zone := traffic.History.Zones[traffic.random.Intn(len(traffic.History.Zones))]
	one := traffic.sendRequest(drawn, zone, traffic.pick(zone))
	if traffic.random.Float64() < traffic.HangUpsMidway {
		one.hangsUpAfter = 1 + traffic.random.Intn(4)
	}
	if traffic.HangUps > 0 && traffic.random.Float64() < traffic.HangUps {
		traffic.world.After(time.Duration(traffic.random.Int63n(int64(latestLeave))), one.hangUp)
	}
	if traffic.random.Float64() < traffic.Retries {
		traffic.resend(drawn, one)
	}
}

// latestLeave is how long after sending its request a client that leaves does so at the latest.
const latestLeave = time.Second

// Spec returns a spec for an operator to send; the number marks it. Now and then it takes away what
// requests may be waiting for: a route, a zone, the service or the weights.
func (traffic *Traffic) Spec(number int) *config.Spec {
	made := traffic.Mix.Spec(traffic.History.Zones, fmt.Sprintf("marker-%d", number))
	takes := map[int]func(){
		0: func() { made.Routes = made.Routes[1:] },
		1: func() { made.Zones[traffic.random.Intn(len(made.Zones))].Closed = true },
		2: func() { made.Backends[0].Services = []string{"another-service"} },
		3: func() { made.Backends[0].Weights = "other-weights" },
	}
	if traffic.random.Float64() < traffic.TakeAway {
		takes[traffic.random.Intn(len(takes))]()
	}
	return made
}

// draftSpec makes a spec and keeps it for the checker of the history.
func (traffic *Traffic) draftSpec(operation string, number int) []byte {
	made := traffic.Spec(number)
	traffic.specs[operation] = made
	return made.Encode()
}

// draftChange makes a change of named entries: it sets right whatever an earlier spec took, or takes something itself.
func (traffic *Traffic) draftChange(number int) *config.Change {
	made := traffic.Mix.Spec(traffic.History.Zones, fmt.Sprintf("marker-%d", number))
	change := &config.Change{Upsert: config.Entries{Zones: made.Zones, Backends: made.Backends, Routes: made.Routes}}
	if traffic.random.Float64() >= traffic.TakeAway {
		return change
	}
	takes := []func(){
		func() { change.Remove.Routes, change.Upsert.Routes = []string{made.Routes[0].Name}, made.Routes[1:] },
		func() {
			change.Upsert = config.Entries{
				Zones: []config.Zone{{Name: made.Zones[traffic.random.Intn(len(made.Zones))].Name, Closed: true}},
			}
		},
		func() { change.Upsert.Backends[0].Services = []string{"another-service"} },
	}
	takes[traffic.random.Intn(len(takes))]()
	return change
}

// Fault records that something touches a daemon or a runner, and returns what ends it.
func (traffic *Traffic) Fault(what string, host *Host, kills bool, knowable time.Duration) func() {
	record, now := traffic.History, traffic.world.Now
	fault := histories.Fault{At: now, Until: now.Add(time.Hour), What: what, Kills: kills, Knowable: knowable}
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
	world := traffic.world
	final := histories.Final{Asked: true, Known: map[string]uint64{}}
	for _, host := range world.Cores() {
		if host.core.node != nil {
			document := host.core.node.Chain().Committed()
			if document.SpecEpoch >= final.Epoch {
				final.Epoch = document.SpecEpoch
				for _, outcome := range document.Outcomes {
					final.Known[outcome.Operation] = outcome.SpecEpoch
				}
				if parsed, err := config.Parse(document.Spec); err == nil {
					final.Routes = nil
					for _, route := range parsed.Routes {
						final.Routes = append(final.Routes, route.Name)
					}
				}
			}
		}
	}
	traffic.History.Final = final
	traffic.checker.Finish()
	traffic.reportViolations()
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
