package placement

import (
	"fmt"
	"math/rand"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/verify/emulator"
	"wardtray/verify/loadtest"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

const (
	// slotReportPeriod is how often slot runners report, slotPollPeriod how often each daemon reads the reports.
	slotReportPeriod = 100 * time.Millisecond
	slotPollPeriod   = 250 * time.Millisecond
	// slotDrainTime is for how long the simulation goes on after the last arrival.
	slotDrainTime = 30 * time.Second
)

// Setting is one measurement on slot runners.
type Setting struct {
	Mix     loadtest.Mix
	Zones   []string
	Daemons int
	Runners int
	// Rate is how many requests arrive a second, at random moments of Length.
	Rate   float64
	Length time.Duration
	// Hot is the part (0 to 1) of the requests that carry one and the same opening.
	Hot  float64
	Seed int64
	// Policy is one of PolicyNames.
	Policy  string
	Profile emulator.RunnerProfile
}

// slotSimulation lets a mix arrive at daemons that place it on slot runners.
type slotSimulation struct {
	setting Setting
	world   *simulation.World
	random  *rand.Rand
	started time.Time
	runners []*slotRunner
	byID    map[string]*slotRunner
	daemons []*daemon
	results byRoute[Result]
}

// slotRequest is one request from its arrival on.
type slotRequest struct {
	kind    loadtest.Kind
	queued  *scheduler.QueuedRequest
	arrived time.Time
}

// Measure simulates a setting and returns results for each route and, under "", for all. The error is that of an index
// which can't be made.
func Measure(setting Setting) (map[string]*Result, error) {
	world := simulation.NewWorld(setting.Seed)
	simulated := &slotSimulation{
		setting: setting,
		world:   world,
		random:  rand.New(rand.NewSource(setting.Seed)),
		started: world.Now,
		byID:    map[string]*slotRunner{},
		results: byRoute[Result]{allRoutes: {}},
	}
	for _, kind := range setting.Mix.Kinds {
		simulated.results[kind.Route] = &Result{}
	}
	listing := simulated.addRunners()
	daemons, err := newDaemons(world.Now, daemonSettings{
		count:   setting.Daemons,
		zones:   setting.Zones,
		listing: listing,
		policy:  setting.Policy,
		budget:  func() *retrybudget.Budget { return retrybudget.New(retrybudget.DefaultSettings, nil) },
	}, simulated.random)
	if err != nil {
		return nil, err
	}
	simulated.daemons = daemons
	simulated.recordReports()
	simulated.pollReports()
	rebalancePeriodically(world, daemons)
	simulated.scheduleArrival()
	world.Run(setting.Length + slotDrainTime)
	return simulated.results, nil
}

// addRunners makes the runners and returns their lines in the runner list.
func (simulated *slotSimulation) addRunners() []*wire.Runner {
	setting := simulated.setting
	listing := make([]*wire.Runner, 0, setting.Runners)
	for number := range setting.Runners {
		runner := &slotRunner{
			id:      fmt.Sprintf("r%02d", number),
			zone:    setting.Zones[number%len(setting.Zones)],
			profile: setting.Profile,
			world:   simulated.world,
			cache:   emulator.NewCache[kvblock.BlockKey](setting.Profile.CacheTokens),
			reports: reportHistory{lag: int(setting.Profile.ReportAge / slotReportPeriod)},
		}
		simulated.byID[runner.id] = runner
		simulated.runners = append(simulated.runners, runner)
		listing = append(listing,
			&wire.Runner{RunnerId: runner.id, Zone: runner.zone, Service: runnerService, State: runnerReady})
	}
	return listing
}

// recordReports lets all runners report, from now on.
func (simulated *slotSimulation) recordReports() {
	for _, runner := range simulated.runners {
		runner.reports.record(runner.report())
	}
	simulated.world.After(slotReportPeriod, simulated.recordReports)
}

// pollReports lets each daemon read all reports, from a random moment on.
func (simulated *slotSimulation) pollReports() {
	for _, daemon := range simulated.daemons {
		var poll func()
		poll = func() {
			for _, runner := range simulated.runners {
				if report, found := runner.reports.read(); found {
					daemon.table.RecordReport(simulated.world.Now, runner.id, report)
				}
			}
			simulated.world.After(slotPollPeriod, poll)
		}
		simulated.world.After(time.Duration(simulated.random.Int63n(int64(slotPollPeriod))), poll)
	}
}

// scheduleArrival lets requests arrive at random moments, until the setting's length is over.
func (simulated *slotSimulation) scheduleArrival() {
	if simulated.world.Now.Sub(simulated.started) > simulated.setting.Length {
		return
	}
	gap := time.Duration(simulated.random.ExpFloat64() / simulated.setting.Rate * float64(time.Second))
	simulated.world.After(gap, func() {
		simulated.arrive()
		simulated.scheduleArrival()
	})
}

// arrive draws a request and gives it to a random daemon.
func (simulated *slotSimulation) arrive() {
	drawn := simulated.setting.Mix.Draw(simulated.random, simulated.setting.Hot)
	daemon := simulated.daemons[simulated.random.Intn(len(simulated.daemons))]
	request := &slotRequest{
		kind: drawn.Kind,
		queued: newQueuedRequest(drawn.Kind.Route, drawn.Kind.ConcurrencyLimit, newPrompt(drawn.Parts()),
			simulated.setting.Mix.Model, scheduler.Requirements{
				Value:         drawn.Kind.Value,
				LatencyTarget: drawn.Kind.LatencyTarget,
				PromptTokens:  drawn.PromptTokens(),
				Zone:          daemon.zone,
			}),
		arrived: simulated.world.Now,
	}
	simulated.results.update(drawn.Kind.Route, func(result *Result) { result.Requests++ })
	daemon.budget.RecordRequest(simulated.world.Now)
	simulated.schedule(daemon, request)
}

// schedule gives a request to a daemon, at its arrival or for a retry.
func (simulated *slotSimulation) schedule(daemon *daemon, request *slotRequest) {
	daemon.schedule(simulated.world.Now, request.queued, func(decision scheduler.Decision) {
		if decision.Kind == scheduler.Dispatch {
			simulated.dispatch(daemon, request, decision)
			return
		}
		waited := simulated.world.Now.Sub(request.arrived)
		simulated.results.update(request.kind.Route, func(result *Result) { result.refused(waited) })
	})
}

// dispatch sends a request to the runner that the scheduler took.
func (simulated *slotSimulation) dispatch(daemon *daemon, request *slotRequest, decision scheduler.Decision) {
	world, runner := simulated.world, simulated.byID[decision.Runner.ID]
	sent := world.Now
	daemon.scheduler.RequestSent(sent, request.queued, decision)
	run := slotRun{
		keys:       request.queued.Keys,
		partTokens: request.queued.PartTokens,
		prompt:     request.queued.Requirements.PromptTokens,
		answer:     request.kind.Answer,
		finished: func() {
			simulated.results.update(request.kind.Route, func(result *Result) { result.Done++ })
			daemon.scheduler.RequestCompleted(0, 0, world.Now.Sub(sent))
			daemon.release(world.Now, request.queued, runner.id)
		},
	}
	run.firstEvent = func(cached int) {
		daemon.scheduler.FirstEventReceived(request.queued, decision, world.Now.Sub(sent))
		simulated.results.update(request.kind.Route, func(result *Result) {
			result.First = append(result.First, world.Now.Sub(request.arrived))
			result.Cached += cached
			result.Prompted += run.prompt
			if runner.zone != daemon.zone {
				result.CrossZone++
			}
		})
	}
	if !runner.accept(run) {
		simulated.retryElsewhere(daemon, request, decision)
		return
	}
	simulated.results.update(request.kind.Route,
		func(result *Result) { result.MostAtOnce = max(result.MostAtOnce, runner.active()) })
}

// retryElsewhere schedules a request anew that its runner has rejected, if the retry budget allows it.
func (simulated *slotSimulation) retryElsewhere(daemon *daemon, request *slotRequest, decision scheduler.Decision) {
	now, runner := simulated.world.Now, decision.Runner.ID
	daemon.scheduler.RequestRejected(now, request.queued, decision)
	daemon.scheduler.Release(now, request.queued, runner)
	request.queued.Requirements.ExcludedRunners[runner] = true
	simulated.results.update(request.kind.Route, func(result *Result) { result.PutBack++ })
	if !daemon.budget.AllowRetry(now) {
		simulated.results.update(request.kind.Route, func(result *Result) { result.NoBudget++ })
		return
	}
	simulated.schedule(daemon, request)
}
