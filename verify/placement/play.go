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
	Way    string
	// ReportAge is how old a runner's word may grow before it is asked; 0: never.
	ReportAge time.Duration
	// Hot is the part of HotLane's requests that carry one opening, from a third to two thirds of the time.
	Hot      float64
	HotRoute string
	// Slow is the part of the runners that are three times slower, Crash of those that crash, in the same time.
	Slow, Crash float64
	// Release is the part of the runners that are replaced one after the other from the beginning on.
	Release float64
}

// Earned is what one route, or all together, earned.
type Earned struct {
	Requests, InTime, Late, Refused, Failed, Sends, CrossZone int
	MaximumValue, Value                                       float64
	// Large and LargeServed count the largest tenth.
	Large, LargeServed int
	// Shared are the tokens of shared parts, Reread those read though some runner kept them.
	Shared, RereadTokens int
	// Probes are reports asked for, AcrossBytes what went between zones.
	Probes         int
	CrossZoneBytes float64
	First          []time.Duration
	Window         map[int][2]float64
}

// Share is the part of what is owed that was earned.
func (earned *Earned) Share() float64 { return earned.Value / max(1e-9, earned.MaximumValue) }

// The prices of rereading a thousand tokens, of a probe and of a gigabyte between zones, in worth.
const (
	rereadPrice    = 0.62
	probePrice     = 0.019
	crossZonePrice = 3300
)

// Net is the same less the prices.
func (earned *Earned) Net() float64 {
	net := earned.Value - rereadPrice*float64(earned.RereadTokens)/1000 - probePrice*float64(earned.Probes) -
		crossZonePrice*earned.CrossZoneBytes/1e9
	return net / max(1e-9, earned.MaximumValue)
}

// Worst is the same over the worst three seconds of which a good part was owed.
func (earned *Earned) Worst() float64 {
	worst, mean := 1.0, earned.MaximumValue/float64(max(1, len(earned.Window)))
	for _, window := range earned.Window {
		if window[0] > mean/2 {
			worst = min(worst, window[1]/window[0])
		}
	}
	return worst
}

// Quantile returns the value below which such a part of the first events lies.
func (earned *Earned) Quantile(part float64) time.Duration {
	if len(earned.First) == 0 {
		return 0
	}
	sort.Slice(earned.First, func(left, right int) bool { return earned.First[left] < earned.First[right] })
	return earned.First[min(len(earned.First)-1, int(part*float64(len(earned.First))))]
}

type order struct {
	route         RouteWork
	queuedRequest *scheduler.QueuedRequest
	started       time.Time
	answer        int
	held          int
	value         float64
	late          float64
	large         bool
	sends         int
	firstAt       time.Time
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
	results      map[string]*Earned
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
		results:      map[string]*Earned{"": {Window: map[int][2]float64{}}},
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
		fleet.results[route.Name] = &Earned{Window: map[int][2]float64{}}
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
	backend := config.Pool{
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
		made.table.List(fleet.world.Now, fleet.lines)
		made.scheduler = scheduler.NewScheduler(func(now time.Time) scheduler.Snapshot {
			return scheduler.Snapshot{
				Runners: made.table.All(now, fleet.names),
				Daemons: len(fleet.names),
				Pool:    backend,
			}
		}, made.table, indexer, rand.New(rand.NewSource(fleet.random.Int63())))
		if choice := Choices[play.Way]; choice != nil {
			made.scheduler.Picker = choice
		}
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
			for _, runner := range daemon.table.Stale(fleet.world.Now, fleet.play.ReportAge, true) {
				if batch := fleet.batches[runner.ID]; batch != nil && !batch.unresponsive && len(batch.reports) > 0 {
					daemon.table.Reported(fleet.world.Now, runner.ID, batch.reports[0])
					fleet.results[""].Probes++
				}
			}
			fleet.world.After(fleet.play.ReportAge/2, ask)
		}
		fleet.world.After(time.Duration(fleet.random.Int63n(int64(fleet.play.ReportAge))), ask)
	}
}

func (fleet *fleet) redispatch() {
	for _, daemon := range fleet.daemons {
		if daemon.scheduler.Waiting() {
			daemon.scheduler.Rebalance(fleet.world.Now)
			fleet.steps(daemon)
		}
	}
	fleet.world.After(20*time.Millisecond, fleet.redispatch)
}

// scheduleFaults plans what goes wrong in the middle third.
func (fleet *fleet) scheduleFaults() {
	play := fleet.play
	from, length := play.Length/3, play.Length/3
	fleet.world.After(from, func() {
		for _, batch := range fleet.draw(play.Slow) {
			batch.slow = 3
			fleet.world.After(length, func() { batch.slow = 1 })
		}
		for _, batch := range fleet.draw(play.Crash) {
			fleet.crash(batch, length)
		}
	})
	parts := time.Duration(1 + int(play.Release*float64(len(fleet.list))))
	for place, batch := range fleet.draw(play.Release) {
		fleet.world.After(time.Duration(place+1)*play.Length/parts, func() { fleet.replace(batch) })
	}
}

// draw returns a share of the runners at random.
func (fleet *fleet) draw(share float64) []*batch {
	count := int(math.Round(share * float64(len(fleet.list))))
	list := make([]*batch, 0, count)
	for _, place := range fleet.random.Perm(len(fleet.list))[:count] {
		list = append(list, fleet.list[place])
	}
	return list
}

// crash ends a runner without a word; another takes its place after a while.
func (fleet *fleet) crash(batch *batch, length time.Duration) {
	batch.crash()
	// One that says nothing any more is taken off the list only after some calls have not come.
	fleet.world.After(3600*time.Millisecond, func() { fleet.remove(batch) })
	fleet.world.After(length, func() { fleet.add(batch.zone); fleet.relist() })
}

// replace drains a runner beside one that takes its place.
func (fleet *fleet) replace(batch *batch) {
	for _, line := range fleet.lines {
		if line.RunnerId == batch.id {
			line.State = "draining"
		}
	}
	fleet.add(batch.zone)
	fleet.relist()
	fleet.world.After(3*time.Second, func() { fleet.remove(batch) })
}

func (fleet *fleet) remove(gone *batch) {
	delete(fleet.batches, gone.id)
	kept := []*wire.Runner{}
	for _, line := range fleet.lines {
		if line.RunnerId != gone.id {
			kept = append(kept, line)
		}
	}
	fleet.lines = kept
	list := []*batch{}
	for _, one := range fleet.list {
		if one != gone {
			list = append(list, one)
		}
	}
	fleet.list = list
	gone.crash()
	fleet.relist()
}

func (fleet *fleet) relist() {
	for _, daemon := range fleet.daemons {
		lines := make([]*wire.Runner, 0, len(fleet.lines))
		for _, line := range fleet.lines {
			lines = append(
				lines,
				&wire.Runner{
					RunnerId: line.RunnerId,
					Zone:     line.Zone,
					Service:  line.Service,
					State:    line.State,
					Slots:    line.Slots,
				},
			)
		}
		daemon.table.List(fleet.world.Now, lines)
	}
}

func (fleet *fleet) middle() bool {
	since := fleet.world.Now.Sub(fleet.started)
	return since >= fleet.play.Length/3 && since < 2*fleet.play.Length/3
}

// arrive lets clumps of requests come in a zone, in a wave.
func (fleet *fleet) arrive(zone int) {
	since := fleet.world.Now.Sub(fleet.started)
	if since > fleet.play.Length {
		return
	}
	const clump, swing, period = 3.0, 0.15, 11.0
	total := 0.0
	for _, route := range fleet.play.Deployment.Routes {
		total += route.Rate
	}
	zones := fleet.play.Deployment.Zones
	phase := since.Seconds()/period + float64(zone)/float64(zones)
	rate := total * fleet.play.Load / float64(zones) * (1 + swing*math.Sin(2*math.Pi*(phase)))
	fleet.world.After(time.Duration(fleet.random.ExpFloat64()*clump/rate*float64(time.Second)), func() {
		client := fleet.clients[fleet.random.Intn(len(fleet.clients)/zones)*zones+zone]
		for more := true; more; more = fleet.random.Float64() > 1/clump {
			fleet.world.After(time.Duration(fleet.random.Int63n(int64(10*time.Millisecond))),
				func() { fleet.request(client, total) })
		}
		fleet.arrive(zone)
	})
}

func (fleet *fleet) request(daemon *schedulingDaemon, total float64) {
	routes := fleet.play.Deployment.Routes
	point, route := fleet.random.Float64()*total, routes[len(routes)-1]
	for _, candidate := range routes {
		if point -= candidate.Rate; point < 0 {
			route = candidate
			break
		}
	}
	weights := fleet.weights[route.Name]
	thing := sort.SearchFloat64s(weights, fleet.random.Float64()*weights[len(weights)-1])
	if fleet.middle() && route.Name == fleet.play.HotRoute && fleet.random.Float64() < fleet.play.Hot {
		thing = 7
	}
	chain := fleet.sizes[route.Name]
	parts, tokens := make([]string, 0, len(chain)+1), make([]int, 0, len(chain)+1)
	prompt := 0
	for place, sizes := range chain {
		here := thing % len(sizes)
		parts = append(parts, fmt.Sprint(route.Name, place, "-", here))
		tokens = append(tokens, sizes[here])
		prompt += sizes[here]
	}
	shared := prompt
	own := route.Prompt.draw(fleet.random)
	answer := route.Events.draw(fleet.random) * fleet.play.Deployment.Engine.Stride
	parts, tokens, prompt = append(parts, fmt.Sprint("own", fleet.random.Int63())), append(tokens, own), prompt+own
	size := float64(prompt + 10*answer)
	scale := min(4, 0.3+0.7*size/fleet.mean[route.Name])
	made := &order{
		route:   route,
		started: fleet.world.Now,
		answer:  answer,
		value:   route.Value * scale,
		late:    route.Late * scale,
		large:   size > fleet.largest[route.Name],
	}
	made.queuedRequest = &scheduler.QueuedRequest{
		Route:            route.Name,
		ConcurrencyLimit: 1,
		Decisions:        make(chan scheduler.Decision, 1),
		PartTokens:       tokens,
		Keys:             keys.BlockKeys(parts, kvblock.Extra{}),
		Requirements: scheduler.Requirements{
			Value:         route.Value,
			LatencyTarget: route.LatencyTarget,
			Deadline:      route.Deadline,
			PromptTokens:  prompt,
			AnswerTokens:  answer,
			Rank:          route.Rank,
			Zone:          daemon.zone,
			Shut:          map[string]bool{},
		},
	}
	fleet.both(made, func(earned *Earned) {
		earned.Requests++
		earned.MaximumValue += made.value
		earned.Shared += shared
		if made.large {
			earned.Large++
		}
		window := int(made.started.Sub(fleet.started) / windowLength)
		cell := earned.Window[window]
		cell[0] += made.value
		earned.Window[window] = cell
	})
	daemon.budget.Request(fleet.world.Now)
	fleet.schedule(daemon, made)
}

func (fleet *fleet) both(made *order, change func(earned *Earned)) {
	change(fleet.results[made.route.Name])
	change(fleet.results[""])
}

func (fleet *fleet) schedule(daemon *schedulingDaemon, made *order) {
	daemon.order = append(daemon.order, made)
	daemon.scheduler.Schedule(fleet.world.Now, made.queuedRequest)
	fleet.steps(daemon)
}

func (fleet *fleet) steps(daemon *schedulingDaemon) {
	waiting := daemon.order
	daemon.order = nil
	for _, made := range waiting {
		select {
		case step := <-made.queuedRequest.Decisions:
			if step.Kind == scheduler.Dispatch {
				fleet.dispatch(daemon, made, step)
				continue
			}
			fleet.both(made, func(earned *Earned) { earned.Refused++ })
		default:
			daemon.order = append(daemon.order, made)
		}
	}
}

// again sends a request once more, or gives it up.
func (fleet *fleet) again(daemon *schedulingDaemon, made *order, step scheduler.Decision, free bool) {
	daemon.scheduler.Release(fleet.world.Now, made.queuedRequest, step.Runner.ID)
	made.queuedRequest.Requirements.Shut[step.Runner.ID] = true
	made.sends++
	if made.sends > 3 || !free && !daemon.budget.Repeat(fleet.world.Now) {
		fleet.both(made, func(earned *Earned) { earned.Failed++ })
		return
	}
	fleet.schedule(daemon, made)
}

// windowLength is how long each window lasts for which worth is added up.
const windowLength = 3 * time.Second

// send is one request at one runner.
type send struct {
	fleet  *fleet
	daemon *schedulingDaemon
	made   *order
	step   scheduler.Decision
	batch  *batch
	at     time.Time
}

func (fleet *fleet) dispatch(daemon *schedulingDaemon, made *order, step scheduler.Decision) {
	world := fleet.world
	batch := fleet.batches[step.Runner.ID]
	fleet.both(made, func(earned *Earned) { earned.Sends++ })
	if batch == nil || batch.unresponsive {
		daemon.table.Failed(world.Now, step.Runner.ID, "unreachable")
		world.After(time.Millisecond, func() { fleet.again(daemon, made, step, true) })
		return
	}
	sent := &send{fleet: fleet, daemon: daemon, made: made, step: step, batch: batch, at: world.Now}
	daemon.scheduler.Sent(sent.at, made.queuedRequest, step)
	one := &sequence{
		job:     made,
		urgency: step.Urgency,
		prompt:  made.queuedRequest.Requirements.PromptTokens,
		first:   sent.first,
	}
	one.finished = func(whole bool) { sent.finished(one, whole) }
	if !batch.take(one) {
		daemon.scheduler.PutBack(sent.at, made.queuedRequest, step)
		fleet.again(daemon, made, step, false)
	}
}

// first takes the first event of an answer.
func (send *send) first() {
	fleet, daemon, made, batch := send.fleet, send.daemon, send.made, send.batch
	now := fleet.world.Now
	made.firstAt = now
	daemon.table.Served(batch.id)
	report := batch.report()
	report.Room, report.Tokens = 0, 0
	daemon.table.Reported(now, batch.id, report)
	daemon.scheduler.First(made.queuedRequest, send.step, now.Sub(send.at))
	reread := fleet.reread(made)
	fleet.both(made, func(earned *Earned) {
		earned.First = append(earned.First, now.Sub(made.started))
		if batch.zone != daemon.zone {
			earned.CrossZone++
			earned.CrossZoneBytes += 1000 + float64(made.queuedRequest.Requirements.PromptTokens) + 80*float64(
				made.answer,
			)/float64(
				batch.figures.Stride,
			)
		}
		earned.RereadTokens += reread
	})
}

// reread counts the tokens of a prompt that some runner had read before and this one has read anew.
func (fleet *fleet) reread(made *order) int {
	reread, held := 0, made.held
	for place, key := range made.queuedRequest.Keys[:len(made.queuedRequest.Keys)-1] {
		if held -= made.queuedRequest.PartTokens[place]; held < 0 && fleet.cachedBlocks[key] {
			reread += made.queuedRequest.PartTokens[place]
		}
		fleet.cachedBlocks[key] = true
	}
	return reread
}

// finished takes the end of an answer, which is whole or not.
func (send *send) finished(one *sequence, whole bool) {
	fleet, daemon, made := send.fleet, send.daemon, send.made
	now := fleet.world.Now
	inTime := one.worstPause <= made.route.Pause && made.firstAt.Sub(made.started) <= made.route.LatencyTarget
	window := int(made.started.Sub(fleet.started) / windowLength)
	fleet.both(made, func(earned *Earned) { earned.end(made, window, whole, inTime) })
	if whole {
		daemon.scheduler.Learn(0, 0, now.Sub(send.at))
	} else if !one.began {
		daemon.table.Failed(now, send.batch.id, "gave no first event")
	}
	daemon.scheduler.Release(now, made.queuedRequest, send.batch.id)
	fleet.steps(daemon)
}

// end adds up the end of one request.
func (earned *Earned) end(made *order, window int, whole, inTime bool) {
	value := 0.0
	if !whole {
		earned.Failed++
	} else if inTime {
		earned.InTime++
		value = made.value
	} else {
		earned.Late++
		value = made.late
	}
	if whole && made.large {
		earned.LargeServed++
	}
	earned.Value += value
	cell := earned.Window[window]
	cell[1] += value
	earned.Window[window] = cell
}
