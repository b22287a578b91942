package placement

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

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

type schedulingDaemon struct {
	name, zone string
	table      *load.Table
	scheduler  *scheduler.Scheduler
	budget     *retrybudget.Budget
	order      []*order
}

type fleet struct {
	play         Play
	world        *simulation.World
	random       *rand.Rand
	started      time.Time
	batches      map[string]*batch
	list         []*batch
	lines        []*wire.Runner
	daemons      []*schedulingDaemon
	clients      []*schedulingDaemon
	names        []string
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
	if err := fleet.addBatch(); err != nil {
		return nil, err
	}
	fleet.observe()
	fleet.redispatch()
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
	}
	fleet.incarnations++
	fleet.batches[made.id] = made
	fleet.list = append(fleet.list, made)
	fleet.lines = append(fleet.lines,
		&wire.Runner{RunnerId: made.id, Zone: zone, Service: "s", State: "ready", Slots: uint32(figures.Slots)})
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

func (fleet *fleet) addBatch() error {
	play := fleet.play
	for number := range play.Deployment.Daemons {
		fleet.names = append(fleet.names, fmt.Sprint("d", number))
	}
	backend := config.Backend{
		Engine: config.Engine{
			Slots:        play.Deployment.Engine.Slots,
			MemoryTokens: play.Deployment.Engine.MemoryTokens,
			EventTokens:  play.Deployment.Engine.Stride,
		},
	}
	for number, name := range fleet.names {
		indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, 100_000, kvblock.DefaultRunners, 0)
		if err != nil {
			return err
		}
		made := &schedulingDaemon{
			name:  name,
			zone:  fmt.Sprint("z", number%play.Deployment.Zones),
			table: load.NewTable(fleet.world.Now, name),
			budget: retrybudget.New(retrybudget.Settings{Window: 10 * time.Second, Ratio: 0.2, Slack: 60},
				func() int { return len(fleet.names) }),
		}
		made.table.UpdateListing(fleet.world.Now, fleet.lines)
		made.scheduler = scheduler.NewScheduler(func(now time.Time) scheduler.Snapshot {
			return scheduler.Snapshot{
				Runners: made.table.Runners(now, fleet.names),
				Daemons: len(fleet.names),
				Backend: backend,
			}
		}, made.table, indexer, rand.New(rand.NewSource(fleet.random.Int63())))
		made.scheduler.Picker = policies[play.Policy]
		fleet.daemons = append(fleet.daemons, made)
	}
	// Clients are handed to daemons of their zone by a hash, so that shares are uneven.
	for number := range play.Deployment.Clients {
		zone := fmt.Sprint("z", number%play.Deployment.Zones)
		var near []*schedulingDaemon
		for _, daemon := range fleet.daemons {
			if daemon.zone == zone {
				near = append(near, daemon)
			}
		}
		fleet.clients = append(fleet.clients, near[fleet.random.Intn(len(near))])
	}
	return nil
}

// observe keeps reports and lets daemons ask for them.
func (fleet *fleet) observe() {
	const every = 25 * time.Millisecond
	lag := int(fleet.play.Deployment.Engine.ReportLag/every) + 1
	var take func()
	take = func() {
		for _, batch := range fleet.list {
			batch.reports = append(batch.reports, batch.report())
			if len(batch.reports) > lag {
				batch.reports = batch.reports[1:]
			}
		}
		fleet.world.After(every, take)
	}
	take()
	if fleet.play.ReportAge == 0 {
		return
	}
	for _, daemon := range fleet.daemons {
		var ask func()
		ask = func() {
			for _, runner := range daemon.table.RunnersToPoll(fleet.world.Now, fleet.play.ReportAge, true) {
				if batch := fleet.batches[runner.ID]; batch != nil && !batch.unresponsive && len(batch.reports) > 0 {
					daemon.table.RecordReport(fleet.world.Now, runner.ID, batch.reports[0])
					fleet.results[allRoutes].Probes++
				}
			}
			fleet.world.After(fleet.play.ReportAge/2, ask)
		}
		fleet.world.After(time.Duration(fleet.random.Int63n(int64(fleet.play.ReportAge))), ask)
	}
}

func (fleet *fleet) redispatch() {
	for _, daemon := range fleet.daemons {
		if daemon.scheduler.HasQueued() {
			daemon.scheduler.Rebalance(fleet.world.Now)
			fleet.steps(daemon)
		}
	}
	fleet.world.After(20*time.Millisecond, fleet.redispatch)
}
