package placement

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/retrybudget"
	"wardtray/config"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

// batchReportPeriod is how often batch runners report.
const batchReportPeriod = 25 * time.Millisecond

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
	// ReportAge is how old a runner's word may grow before it is asked; 0: never.
	ReportAge time.Duration
	// Hot is the part of HotRoute's requests that carry one opening, from a third to two thirds of the time.
	Hot      float64
	HotRoute string
	// Slow is the part of the runners that are three times slower, Crash of those that crash, in the same time.
	Slow, Crash float64
	// Release is the part of the runners that are replaced one after the other from the beginning on.
	Release float64
}

type fleet struct {
	play         Play
	world        *simulation.World
	random       *rand.Rand
	started      time.Time
	batches      map[string]*batch
	list         []*batch
	lines        []*wire.Runner
	daemons      []*daemon
	clients      []*daemon
	cachedBlocks map[kvblock.BlockKey]bool
	sizes        map[string][][]int
	weights      map[string][]float64
	results      byRoute[Earned]
	mean         map[string]float64
	largest      map[string]float64
	incarnations int
}

// Run plays it; results are by route and, under "", for all.
func (play Play) Run() (map[string]*Earned, error) {
	world := simulation.NewWorld(play.Seed)
	fleet := &fleet{
		play:         play,
		world:        world,
		random:       rand.New(rand.NewSource(play.Seed)),
		started:      world.Now,
		batches:      map[string]*batch{},
		cachedBlocks: map[kvblock.BlockKey]bool{},
		sizes:        map[string][][]int{},
		weights:      map[string][]float64{},
		results:      byRoute[Earned]{allRoutes: newEarned()},
		mean:         map[string]float64{},
		largest:      map[string]float64{},
	}
	for number := range play.Deployment.Runners {
		fleet.add(fmt.Sprint("z", number%play.Deployment.Zones))
	}
	fleet.prepare()
	if err := fleet.addDaemons(); err != nil {
		return nil, err
	}
	fleet.addClients()
	fleet.observe()
	rebalancePeriodically(world, fleet.daemons)
	for number := range play.Deployment.Zones {
		fleet.arrive(number)
	}
	fleet.scheduleFaults()
	world.Run(play.Length + 25*time.Second)
	return fleet.results, nil
}

func (fleet *fleet) add(zone string) {
	figures := fleet.play.Deployment.Engine
	made := &batch{
		id:      fmt.Sprintf("r%03d", fleet.incarnations),
		zone:    zone,
		figures: figures,
		slow:    1,
		world:   fleet.world,
		cache:   emulator.NewCache[kvblock.BlockKey](figures.MemoryTokens * 3 / 4),
		reports: reportHistory{lag: int(figures.ReportLag / batchReportPeriod)},
	}
	fleet.incarnations++
	fleet.batches[made.id] = made
	fleet.list = append(fleet.list, made)
	fleet.lines = append(fleet.lines,
		&wire.Runner{RunnerId: made.id, Zone: zone, Service: runnerService, State: runnerReady, Slots: uint32(figures.Slots)})
}

// prepare draws the shared parts and reckons what is large.
func (fleet *fleet) prepare() {
	for _, route := range fleet.play.Deployment.Routes {
		fleet.results[route.Name] = newEarned()
		for _, shared := range route.Chain {
			tokens := make([]int, shared.Items)
			for place := range tokens {
				tokens[place] = shared.Tokens.draw(fleet.random)
			}
			fleet.sizes[route.Name] = append(fleet.sizes[route.Name], tokens)
		}
		weights, sum := make([]float64, route.Chain[len(route.Chain)-1].Items), 0.0
		for place := range weights {
			sum += math.Pow(float64(place+1), -route.Chain[len(route.Chain)-1].Skew)
			weights[place] = sum
		}
		fleet.weights[route.Name] = weights
		const samples = 2000
		sizes := make([]float64, 0, samples)
		total := 0.0
		for range samples {
			size := float64(route.Prompt.draw(fleet.random)) + 10*float64(
				route.Events.draw(fleet.random)*fleet.play.Deployment.Engine.Stride,
			)
			sizes = append(sizes, size)
			total += size
		}
		sort.Float64s(sizes)
		shared := 0.0
		for _, part := range route.Chain {
			shared += part.Tokens.Mean
		}
		fleet.mean[route.Name], fleet.largest[route.Name] = total/2000+shared, sizes[1800]+shared
	}
}

func (fleet *fleet) addDaemons() error {
	deployment := fleet.play.Deployment
	zones := make([]string, deployment.Zones)
	for number := range zones {
		zones[number] = fmt.Sprint("z", number)
	}
	daemonCount := func() int { return deployment.Daemons }
	daemons, err := newDaemons(fleet.world.Now, daemonSettings{
		count:   deployment.Daemons,
		zones:   zones,
		listing: fleet.lines,
		backend: config.Backend{
			Engine: config.Engine{
				Slots:        deployment.Engine.Slots,
				MemoryTokens: deployment.Engine.MemoryTokens,
				EventTokens:  deployment.Engine.Stride,
			},
		},
		policy: fleet.play.Policy,
		budget: func() *retrybudget.Budget { return retrybudget.New(batchRetrySettings, daemonCount) },
	}, fleet.random)
	fleet.daemons = daemons
	return err
}

// addClients gives each client a daemon of its zone at random, so that shares are uneven.
func (fleet *fleet) addClients() {
	play := fleet.play
	for number := range play.Deployment.Clients {
		zone := fmt.Sprint("z", number%play.Deployment.Zones)
		var near []*daemon
		for _, daemon := range fleet.daemons {
			if daemon.zone == zone {
				near = append(near, daemon)
			}
		}
		fleet.clients = append(fleet.clients, near[fleet.random.Intn(len(near))])
	}
}

// observe keeps reports and lets daemons ask for them.
func (fleet *fleet) observe() {
	var take func()
	take = func() {
		for _, batch := range fleet.list {
			batch.reports.record(batch.report())
		}
		fleet.world.After(batchReportPeriod, take)
	}
	take()
	if fleet.play.ReportAge == 0 {
		return
	}
	for _, daemon := range fleet.daemons {
		var ask func()
		ask = func() {
			for _, runner := range daemon.table.RunnersToPoll(fleet.world.Now, fleet.play.ReportAge, true) {
				fleet.pollRunner(daemon, runner.ID)
			}
			fleet.world.After(fleet.play.ReportAge/2, ask)
		}
		fleet.world.After(time.Duration(fleet.random.Int63n(int64(fleet.play.ReportAge))), ask)
	}
}

func (fleet *fleet) pollRunner(daemon *daemon, id string) {
	batch := fleet.batches[id]
	if batch == nil || batch.unresponsive {
		return
	}
	if report, found := batch.reports.read(); found {
		daemon.table.RecordReport(fleet.world.Now, id, report)
		fleet.results[allRoutes].Probes++
	}
}
