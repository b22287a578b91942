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
	// slotReportPeriod is the interval between the load reports of a slot runner, slotPollPeriod the interval at which
	// each daemon reads the reports.
	slotReportPeriod = 100 * time.Millisecond
	slotPollPeriod   = 250 * time.Millisecond
	// slotDrainTime is the simulated time after the last arrival, in which the requests in progress end.
	slotDrainTime = 30 * time.Second
)

// SlotExperiment configures one simulation with slot runners.
type SlotExperiment struct {
	Mix     loadtest.Mix
	Zones   []string
	Daemons int
	Runners int
	// Rate is the mean number of requests per second, which arrive at random times. Length is the simulated time in which
	// they arrive.
	Rate   float64
	Length time.Duration
	// Hot is the share (0 to 1) of the requests whose prompts have the same prefix.
	Hot  float64
	Seed int64
	// Policy is one of PolicyNames.
	Policy  string
	Profile emulator.RunnerProfile
}

// slotSimulation simulates the requests of a mix, which daemons place on slot runners.
type slotSimulation struct {
	experiment SlotExperiment
	world      *simulation.World
	random     *rand.Rand
	started    time.Time
	runners    []*slotRunner
	byID       map[string]*slotRunner
	daemons    []*daemon
	results    byRoute[SlotResult]
}

// slotRequest is a request of a slotSimulation after its arrival.
type slotRequest struct {
	kind    loadtest.Kind
	queued  *scheduler.QueuedRequest
	arrived time.Time
}

// Measure runs a simulation and returns the results of each route and, under "", of all routes together. It returns an
// error if a daemon's prefix index can't be created.
func Measure(experiment SlotExperiment) (map[string]*SlotResult, error) {
	world := simulation.NewWorld(experiment.Seed)
	simulated := &slotSimulation{
		experiment: experiment,
		world:      world,
		random:     rand.New(rand.NewSource(experiment.Seed)),
		started:    world.Now,
		byID:       map[string]*slotRunner{},
		results:    byRoute[SlotResult]{allRoutes: {}},
	}
	for _, kind := range experiment.Mix.Kinds {
		simulated.results[kind.Route] = &SlotResult{}
	}
	listing := simulated.addRunners()
	daemons, err := newDaemons(world.Now, daemonSettings{
		count:   experiment.Daemons,
		zones:   experiment.Zones,
		listing: listing,
		policy:  experiment.Policy,
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
	world.Run(experiment.Length + slotDrainTime)
	return simulated.results, nil
}

// addRunners creates the runners and returns the runner list.
func (simulated *slotSimulation) addRunners() []*wire.Runner {
	experiment := simulated.experiment
	listing := make([]*wire.Runner, 0, experiment.Runners)
	for number := range experiment.Runners {
		runner := &slotRunner{
			id:      fmt.Sprintf("r%02d", number),
			zone:    experiment.Zones[number%len(experiment.Zones)],
			profile: experiment.Profile,
			world:   simulated.world,
			cache:   emulator.NewCache[kvblock.BlockKey](experiment.Profile.CacheTokens),
			reports: reportHistory{lag: int(experiment.Profile.ReportAge / slotReportPeriod)},
		}
		simulated.byID[runner.id] = runner
		simulated.runners = append(simulated.runners, runner)
		listing = append(listing,
			&wire.Runner{RunnerId: runner.id, Zone: runner.zone, Service: runnerService, State: runnerReady})
	}
	return listing
}

// recordReports records a load report of each runner, now and after each slotReportPeriod.
func (simulated *slotSimulation) recordReports() {
	for _, runner := range simulated.runners {
		runner.reports.record(runner.report())
	}
	simulated.world.After(slotReportPeriod, simulated.recordReports)
}

// pollReports starts the periodic polls of each daemon, which read all runners' reports, at a random time.
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

// scheduleArrival schedules the next request, and repeatedly those after it until Length has passed.
func (simulated *slotSimulation) scheduleArrival() {
	if simulated.world.Now.Sub(simulated.started) > simulated.experiment.Length {
		return
	}
	gap := time.Duration(simulated.random.ExpFloat64() / simulated.experiment.Rate * float64(time.Second))
	simulated.world.After(gap, func() {
		simulated.arrive()
		simulated.scheduleArrival()
	})
}

// arrive generates a request and passes it to a random daemon.
func (simulated *slotSimulation) arrive() {
	drawn := simulated.experiment.Mix.Draw(simulated.random, simulated.experiment.Hot)
	daemon := simulated.daemons[simulated.random.Intn(len(simulated.daemons))]
	request := &slotRequest{
		kind: drawn.Kind,
		queued: newQueuedRequest(drawn.Kind.Route, drawn.Kind.ConcurrencyLimit, newPrompt(drawn.Parts()),
			simulated.experiment.Mix.Model, scheduler.Requirements{
				Value:         drawn.Kind.Value,
				LatencyTarget: drawn.Kind.LatencyTarget,
				PromptTokens:  drawn.PromptTokens(),
				Zone:          daemon.zone,
			}),
		arrived: simulated.world.Now,
	}
	simulated.results.update(drawn.Kind.Route, func(result *SlotResult) { result.Requests++ })
	daemon.budget.RecordRequest(simulated.world.Now)
	simulated.schedule(daemon, request)
}

// schedule passes a request to a daemon's scheduler, at its arrival or for a retry.
func (simulated *slotSimulation) schedule(daemon *daemon, request *slotRequest) {
	daemon.schedule(simulated.world.Now, request.queued, func(decision scheduler.Decision) {
		if decision.Kind == scheduler.Dispatch {
			simulated.dispatch(daemon, request, decision)
			return
		}
		waited := simulated.world.Now.Sub(request.arrived)
		simulated.results.update(request.kind.Route, func(result *SlotResult) { result.refused(waited) })
	})
}

// dispatch sends a request to the runner that the scheduler chose.
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
			simulated.results.update(request.kind.Route, func(result *SlotResult) { result.Done++ })
			daemon.scheduler.RequestCompleted(0, 0, world.Now.Sub(sent))
			daemon.release(world.Now, request.queued, runner.id)
		},
	}
	run.firstEvent = func(cached int) {
		daemon.scheduler.FirstEventReceived(request.queued, decision, world.Now.Sub(sent))
		simulated.results.update(request.kind.Route, func(result *SlotResult) {
			result.FirstEventTimes = append(result.FirstEventTimes, world.Now.Sub(request.arrived))
			result.CachedTokens += cached
			result.PromptTokens += run.prompt
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
		func(result *SlotResult) { result.MaximumActive = max(result.MaximumActive, runner.active()) })
}

// retryElsewhere schedules a request again that its runner has rejected, if the retry budget allows it.
func (simulated *slotSimulation) retryElsewhere(daemon *daemon, request *slotRequest, decision scheduler.Decision) {
	now, runner := simulated.world.Now, decision.Runner.ID
	daemon.scheduler.RequestRejected(now, request.queued, decision)
	daemon.scheduler.Release(now, request.queued, runner)
	request.queued.Requirements.ExcludedRunners[runner] = true
	simulated.results.update(request.kind.Route, func(result *SlotResult) { result.Rejected++ })
	if !daemon.budget.AllowRetry(now) {
		simulated.results.update(request.kind.Route, func(result *SlotResult) { result.RetriesDenied++ })
		return
	}
	simulated.schedule(daemon, request)
}
