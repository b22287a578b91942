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
	// batchReportPeriod is how often batch runners report.
	batchReportPeriod = 25 * time.Millisecond
	// batchDrainTime is for how long the simulation goes on after the last arrival.
	batchDrainTime = 25 * time.Second
)

// batchRetrySettings allow a fifth of the requests to be retried, and some more over the whole fleet.
var batchRetrySettings = retrybudget.Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}

// Play is one measurement of a deployment.
type Play struct {
	Deployment Deployment
	// Load multiplies the routes' rates.
	Load   float64
	Length time.Duration
	Seed   int64
	// Policy is one of PolicyNames.
	Policy string
	// ReportAge is how old a runner's report may grow before it is polled; 0: never.
	ReportAge time.Duration
	// Hot is the part of HotRoute's requests that carry one opening, from a third to two thirds of the time.
	Hot      float64
	HotRoute string
	// Slow is the part of the runners that are three times slower, Crash of those that crash, in the same time.
	Slow, Crash float64
	// Release is the part of the runners that are replaced one after the other from the beginning on.
	Release float64
}

// batchSimulation lets a workload arrive at daemons that place it on batch runners.
type batchSimulation struct {
	play     Play
	world    *simulation.World
	random   *rand.Rand
	started  time.Time
	runners  *runnerSet
	workload *workload
	daemons  []*daemon
	// clients are the daemons to which each client sends; client i is in zone i modulo the number of zones.
	clients []*daemon
	// knownBlocks are the blocks of prompts that some runner has read.
	knownBlocks map[kvblock.BlockKey]bool
	results     byRoute[Earned]
}

// Run simulates it and returns what was earned for each route and, under "", for all. The error is that of an index
// which can't be made.
func (play Play) Run() (map[string]*Earned, error) {
	world := simulation.NewWorld(play.Seed)
	simulated := &batchSimulation{
		play:    play,
		world:   world,
		random:  rand.New(rand.NewSource(play.Seed)),
		started: world.Now,
		runners: &runnerSet{
			world:   world,
			figures: play.Deployment.Engine,
			byID:    map[string]*batchRunner{},
		},
		knownBlocks: map[kvblock.BlockKey]bool{},
		results:     byRoute[Earned]{allRoutes: newEarned()},
	}
	for number := range play.Deployment.Runners {
		simulated.runners.add(zoneName(number % play.Deployment.Zones))
	}
	for _, route := range play.Deployment.Routes {
		simulated.results[route.Name] = newEarned()
	}
	simulated.workload = newWorkload(play.Deployment, simulated.random)
	if err := simulated.addDaemons(); err != nil {
		return nil, err
	}
	simulated.addClients()
	simulated.runners.recordReports()
	simulated.pollReports()
	rebalancePeriodically(world, simulated.daemons)
	for zone := range play.Deployment.Zones {
		simulated.scheduleArrivals(zone)
	}
	simulated.scheduleFaults()
	world.Run(play.Length + batchDrainTime)
	return simulated.results, nil
}

func zoneName(number int) string { return fmt.Sprint("z", number) }

func (simulated *batchSimulation) addDaemons() error {
	deployment := simulated.play.Deployment
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
		policy: simulated.play.Policy,
		budget: func() *retrybudget.Budget { return retrybudget.New(batchRetrySettings, daemonCount) },
	}, simulated.random)
	simulated.daemons = daemons
	return err
}

// addClients gives each client a daemon of its zone at random, so that shares are uneven.
func (simulated *batchSimulation) addClients() {
	deployment := simulated.play.Deployment
	for number := range deployment.Clients {
		zone := zoneName(number % deployment.Zones)
		var near []*daemon
		for _, daemon := range simulated.daemons {
			if daemon.zone == zone {
				near = append(near, daemon)
			}
		}
		simulated.clients = append(simulated.clients, near[simulated.random.Intn(len(near))])
	}
}

// pollReports lets each daemon poll runners whose reports are old, from a random moment on.
func (simulated *batchSimulation) pollReports() {
	world, reportAge := simulated.world, simulated.play.ReportAge
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
		simulated.results[allRoutes].Probes++
	}
}
