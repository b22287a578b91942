package placement

import (
	"fmt"
	"math/rand"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/retrybudget"
	"wardtray/config"
	"wardtray/verify/simulation"
)

const (
	// batchReportPeriod is the interval between the load reports of a batch runner.
	batchReportPeriod = 25 * time.Millisecond
	// batchDrainTime is the simulated time after the last arrival, in which the requests in progress end.
	batchDrainTime = 25 * time.Second
)

// batchRetrySettings allows retries of a fifth of the requests, and some more in the complete fleet.
var batchRetrySettings = retrybudget.Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}

// BatchExperiment configures one simulation of a deployment with batch runners. Shares are fractions from 0 to 1.
type BatchExperiment struct {
	Deployment Deployment
	// Load multiplies the routes' rates.
	Load float64
	// Length is the simulated time in which requests arrive.
	Length time.Duration
	Seed   int64
	// Policy is one of PolicyNames.
	Policy string
	// ReportAge is the age of a runner's report beyond which daemons poll the runner; 0: they never poll.
	ReportAge time.Duration
	// Hot is the share of HotRoute's requests in the middle third of Length whose prompts have the same shared parts.
	Hot      float64
	HotRoute string
	// Slow is the share of the runners that are slowed down by slowRunnerFactor in the middle third of Length, Crash the
	// share of the runners that crash at its beginning; they are replaced at its end.
	Slow, Crash float64
	// Release is the share of the runners that are replaced in turn, at equal intervals over Length.
	Release float64
}

// batchSimulation simulates a workload that daemons place on batch runners.
type batchSimulation struct {
	experiment BatchExperiment
	world      *simulation.World
	random     *rand.Rand
	started    time.Time
	runners    *runnerSet
	workload   *workload
	daemons    []*daemon
	// clients holds the daemon to which each client sends; client i is in zone i modulo the number of zones.
	clients []*daemon
	// knownBlocks holds the blocks of prompts that some runner has prefilled.
	knownBlocks map[kvblock.BlockKey]bool
	results     byRoute[BatchResult]
}

// Run runs the simulation and returns the results of each route and, under "", of all routes together. It returns an
// error if a daemon's prefix index can't be created.
func (experiment BatchExperiment) Run() (map[string]*BatchResult, error) {
	world := simulation.NewWorld(experiment.Seed)
	simulated := &batchSimulation{
		experiment: experiment,
		world:      world,
		random:     rand.New(rand.NewSource(experiment.Seed)),
		started:    world.Now,
		runners: &runnerSet{
			world:   world,
			profile: experiment.Deployment.Engine,
			byID:    map[string]*batchRunner{},
		},
		knownBlocks: map[kvblock.BlockKey]bool{},
		results:     byRoute[BatchResult]{allRoutes: newBatchResult()},
	}
	for number := range experiment.Deployment.Runners {
		simulated.runners.add(zoneName(number % experiment.Deployment.Zones))
	}
	for _, route := range experiment.Deployment.Routes {
		simulated.results[route.Name] = newBatchResult()
	}
	simulated.workload = newWorkload(experiment.Deployment, simulated.random)
	if err := simulated.addDaemons(); err != nil {
		return nil, err
	}
	simulated.addClients()
	simulated.runners.recordReports()
	simulated.pollReports()
	rebalancePeriodically(world, simulated.daemons)
	for zone := range experiment.Deployment.Zones {
		simulated.scheduleArrivals(zone)
	}
	simulated.scheduleFaults()
	world.Run(experiment.Length + batchDrainTime)
	return simulated.results, nil
}

func zoneName(number int) string { return fmt.Sprint("z", number) }

func (simulated *batchSimulation) addDaemons() error {
	deployment := simulated.experiment.Deployment
	zones := make([]string, deployment.Zones)
	for number := range zones {
		zones[number] = zoneName(number)
	}
	daemonCount := func() int { return deployment.Daemons }
	daemons, err := newDaemons(simulated.world.Now, daemonSettings{
		count:   deployment.Daemons,
		zones:   zones,
		listing: simulated.runners.listing,
		backend: config.Backend{
			Engine: config.Engine{
				Slots:        deployment.Engine.Slots,
				MemoryTokens: deployment.Engine.MemoryTokens,
				EventTokens:  deployment.Engine.Stride,
			},
		},
		policy: simulated.experiment.Policy,
		budget: func() *retrybudget.Budget { return retrybudget.New(batchRetrySettings, daemonCount) },
	}, simulated.random)
	simulated.daemons = daemons
	return err
}

// addClients assigns each client a random daemon in its zone, so that the daemons' loads are uneven.
func (simulated *batchSimulation) addClients() {
	deployment := simulated.experiment.Deployment
	for number := range deployment.Clients {
		zone := zoneName(number % deployment.Zones)
		var local []*daemon
		for _, daemon := range simulated.daemons {
			if daemon.zone == zone {
				local = append(local, daemon)
			}
		}
		simulated.clients = append(simulated.clients, local[simulated.random.Intn(len(local))])
	}
}

// pollReports starts the periodic polls of each daemon, at a random time, for runners whose reports exceed ReportAge.
func (simulated *batchSimulation) pollReports() {
	world, reportAge := simulated.world, simulated.experiment.ReportAge
	if reportAge == 0 {
		return
	}
	for _, daemon := range simulated.daemons {
		var poll func()
		poll = func() {
			for _, polled := range daemon.table.RunnersToPoll(world.Now, reportAge, true) {
				simulated.pollRunner(daemon, polled.ID)
			}
			world.After(reportAge/2, poll)
		}
		world.After(time.Duration(simulated.random.Int63n(int64(reportAge))), poll)
	}
}

func (simulated *batchSimulation) pollRunner(daemon *daemon, id string) {
	runner := simulated.runners.available(id)
	if runner == nil {
		return
	}
	if report, found := runner.reports.read(); found {
		daemon.table.RecordReport(simulated.world.Now, id, report)
		simulated.results[allRoutes].Polls++
	}
}
