// Package place measures placement in simulated time: the daemons' own desks, books and indexes award
// a seeded mix to model runners, beside baselines that price otherwise.
package placement

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/verify/emulator"
	"wardtray/verify/loadtest"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

// greatest takes the offer of the whole pool that is worth most, equal ones by lot.
func greatest(worth func(quote scheduler.Quote, random *rand.Rand) float64) scheduler.Choice {
	return func(_ scheduler.Bid, quotes []scheduler.Quote, random *rand.Rand) int {
		best, most := -1, 0.0
		for _, place := range random.Perm(len(quotes)) {
			if quotes[place].Full {
				continue
			}
			if here := worth(quotes[place], random); best < 0 || here > most {
				best, most = place, here
			}
		}
		return best
	}
}

// Ways are wardtray's own way of choosing and the baselines.
var Ways = map[string]scheduler.Choice{
	"wardtray":     scheduler.Sample,
	"random":       greatest(func(_ scheduler.Quote, random *rand.Rand) float64 { return random.Float64() }),
	"least-loaded": greatest(func(quote scheduler.Quote, _ *rand.Rand) float64 { return -quote.Offer.Load }),
	"index-only":   greatest(func(quote scheduler.Quote, _ *rand.Rand) float64 { return float64(quote.Offer.HeldTokens) }),
}

// Setting is one measurement.
type Setting struct {
	Mix     loadtest.Mix
	Zones   []string
	Daemons int
	Runners int
	Rate    float64
	Length  time.Duration
	Hot     float64
	Seed    int64
	Way     string
	Nature  emulator.Nature
}

// Result is what one lane, or all together, got.
type Result struct {
	Requests, Done, Early, Late, PutBack, NoBudget, Across int
	Cached, Prompted                                       int
	First                                                  []time.Duration
	// MostAtOnce is the most work that one runner had.
	MostAtOnce int
}

// Quantile gives the value below which such a part of the first events lies.
func (result *Result) Quantile(part float64) time.Duration {
	if len(result.First) == 0 {
		return 0
	}
	sort.Slice(result.First, func(left, right int) bool { return result.First[left] < result.First[right] })
	return result.First[min(len(result.First)-1, int(part*float64(len(result.First))))]
}

// CacheShare gives the part of the prompt tokens that runners had in their caches.
func (result *Result) CacheShare() float64 {
	return float64(result.Cached) / float64(max(1, result.Prompted))
}

type engine struct {
	id, zone string
	active   int
	free     time.Time
	waiting  []func()
	running  int
	cache    *emulator.Cache[kvblock.BlockKey]
	reports  []load.Report
}

type daemon struct {
	budget  *retrybudget.Budget
	zone    string
	book    *load.Book
	desk    *scheduler.Desk
	tickets map[*scheduler.Ticket]*job
	order   []*job
}

type job struct {
	kind   loadtest.Kind
	ticket *scheduler.Ticket
	begun  time.Time
}

type stage struct {
	setting Setting
	world   *simulation.World
	random  *rand.Rand
	engines map[string]*engine
	list    []*engine
	daemons []*daemon
	results map[string]*Result
}

// Measure plays a setting and gives results for each lane and, under "", for all.
func Measure(setting Setting) (map[string]*Result, error) {
	stage := &stage{setting: setting, world: simulation.NewWorld(setting.Seed), random: rand.New(rand.NewSource(setting.Seed)),
		engines: map[string]*engine{}, results: map[string]*Result{"": {}}}
	for _, kind := range setting.Mix.Kinds {
		stage.results[kind.Lane] = &Result{}
	}
	var lines []*wire.Runner
	for number := range setting.Runners {
		made := &engine{id: fmt.Sprintf("r%02d", number), zone: setting.Zones[number%len(setting.Zones)], cache: emulator.NewCache[kvblock.BlockKey](setting.Nature.CacheTokens)}
		stage.engines[made.id] = made
		stage.list = append(stage.list, made)
		lines = append(lines, &wire.Runner{RunnerId: made.id, Zone: made.zone, Service: "s", State: "ready"})
	}
	names := make([]string, setting.Daemons)
	for number := range setting.Daemons {
		names[number] = fmt.Sprint("d", number)
	}
	for number, name := range names {
		indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, 100_000, kvblock.DefaultRunners, 0)
		if err != nil {
			return nil, err
		}
		made := &daemon{budget: retrybudget.New(retrybudget.Default, nil), zone: setting.Zones[number%len(setting.Zones)], book: load.NewBook(stage.world.Now, name), tickets: map[*scheduler.Ticket]*job{}}
		made.book.List(stage.world.Now, lines)
		made.desk = scheduler.NewDesk(func(now time.Time) scheduler.Field {
			return scheduler.Field{Runners: made.book.All(now, names), Daemons: len(names)}
		},
			made.book, indexer, rand.New(rand.NewSource(stage.random.Int63())))
		made.desk.Choose = Ways[setting.Way]
		stage.daemons = append(stage.daemons, made)
	}
	stage.observe()
	stage.settle()
	stage.arrive()
	stage.world.Run(setting.Length + 30*time.Second)
	return stage.results, nil
}

// both changes the results of a lane and of all.
func (stage *stage) both(lane string, change func(result *Result)) {
	change(stage.results[lane])
	change(stage.results[""])
}

// observe takes reports every 100 ms; daemons read old ones every 250 ms.
func (stage *stage) observe() {
	world, age := stage.world, int(stage.setting.Nature.ReportAge/(100*time.Millisecond))
	var take func()
	take = func() {
		for _, engine := range stage.list {
			engine.reports = append(engine.reports, load.Report{Running: engine.running, Waiting: engine.active - engine.running, Slots: stage.setting.Nature.Slots})
			if len(engine.reports) > age+1 {
				engine.reports = engine.reports[1:]
			}
		}
		world.After(100*time.Millisecond, take)
	}
	take()
	for _, one := range stage.daemons {
		var read func()
		read = func() {
			for _, engine := range stage.list {
				one.book.Reported(world.Now, engine.id, engine.reports[0])
			}
			world.After(250*time.Millisecond, read)
		}
		world.After(time.Duration(stage.random.Int63n(int64(250*time.Millisecond))), read)
	}
}

func (stage *stage) settle() {
	for _, one := range stage.daemons {
		one.desk.Settle(stage.world.Now)
		stage.steps(one)
	}
	stage.world.After(20*time.Millisecond, stage.settle)
}

// arrive lets requests come at random moments.
func (stage *stage) arrive() {
	if stage.world.Now.Sub(time.Unix(1_700_000_000, 0)) > stage.setting.Length {
		return
	}
	gap := time.Duration(stage.random.ExpFloat64() / stage.setting.Rate * float64(time.Second))
	stage.world.After(gap, func() {
		stage.request()
		stage.arrive()
	})
}

func (stage *stage) request() {
	drawn := stage.setting.Mix.Draw(stage.random, stage.setting.Hot)
	kind := drawn.Kind
	one := stage.daemons[stage.random.Intn(len(stage.daemons))]
	parts, tokens := drawn.Parts()
	ticket := &scheduler.Ticket{Lane: kind.Lane, Purse: kind.Purse, Steps: make(chan scheduler.Step, 1), PartTokens: tokens,
		Keys: keys.BlockKeys(parts, kvblock.Extra{Model: stage.setting.Mix.Model}),
		Bid:  scheduler.Bid{Worth: kind.Worth, Patience: kind.Patience, PromptTokens: drawn.PromptTokens(), Zone: one.zone, Shut: map[string]bool{}}}
	stage.both(kind.Lane, func(result *Result) { result.Requests++ })
	one.budget.Request(stage.world.Now)
	stage.enter(one, &job{kind: kind, ticket: ticket, begun: stage.world.Now})
}

var keys = kvblock.NewTokenProcessor(kvblock.DefaultSeed)

func (stage *stage) enter(one *daemon, job *job) {
	one.order = append(one.order, job)
	one.desk.Enter(stage.world.Now, job.ticket)
	stage.steps(one)
}

// steps obeys whatever a desk has decided.
func (stage *stage) steps(one *daemon) {
	waiting := one.order
	one.order = nil
	for _, job := range waiting {
		select {
		case step := <-job.ticket.Steps:
			if step.Kind == scheduler.Pass {
				stage.pass(one, job, step)
				continue
			}
			late := stage.world.Now.Sub(job.begun) > 50*time.Millisecond
			stage.both(job.kind.Lane, func(result *Result) {
				if late {
					result.Late++
				} else {
					result.Early++
				}
			})
		default:
			one.order = append(one.order, job)
		}
	}
}

func (stage *stage) pass(one *daemon, job *job, step scheduler.Step) {
	engine, nature := stage.engines[step.Runner.ID], stage.setting.Nature
	sent := stage.world.Now
	one.desk.Sent(sent, job.ticket, step)
	if engine.active >= nature.Slots+nature.PutBackAbove {
		one.desk.PutBack(sent, job.ticket, step)
		one.desk.Release(sent, job.ticket, engine.id)
		job.ticket.Bid.Shut[engine.id] = true
		stage.both(job.kind.Lane, func(result *Result) { result.PutBack++ })
		if !one.budget.Repeat(sent) {
			stage.both(job.kind.Lane, func(result *Result) { result.NoBudget++ })
			return
		}
		stage.enter(one, job)
		return
	}
	engine.active++
	stage.both(job.kind.Lane, func(result *Result) { result.MostAtOnce = max(result.MostAtOnce, engine.active) })
	run := func() { stage.run(one, job, step, engine, sent) }
	if engine.running < nature.Slots {
		run()
		return
	}
	engine.waiting = append(engine.waiting, run)
}

// run lets an engine work: prefills one after the other, answers side by side.
func (stage *stage) run(one *daemon, job *job, step scheduler.Step, engine *engine, sent time.Time) {
	world, nature := stage.world, stage.setting.Nature
	engine.running++
	cached := engine.cache.Use(job.ticket.Keys, job.ticket.PartTokens)
	prompt := job.ticket.Bid.PromptTokens
	begin := world.Now
	if engine.free.After(begin) {
		begin = engine.free
	}
	first := begin.Add(time.Duration(prompt-cached) * nature.TokenTime)
	engine.free = first
	world.At(first, func() {
		one.desk.First(job.ticket, step, world.Now.Sub(sent))
		stage.both(job.kind.Lane, func(result *Result) {
			result.First = append(result.First, world.Now.Sub(job.begun))
			result.Cached += cached
			result.Prompted += prompt
			if engine.zone != one.zone {
				result.Across++
			}
		})
		world.After(time.Duration(job.kind.Answer)*nature.AnswerTime, func() {
			engine.running--
			engine.active--
			stage.both(job.kind.Lane, func(result *Result) { result.Done++ })
			one.desk.Learn(0, 0, world.Now.Sub(sent))
			one.desk.Release(world.Now, job.ticket, engine.id)
			if len(engine.waiting) > 0 && engine.running < nature.Slots {
				next := engine.waiting[0]
				engine.waiting = engine.waiting[1:]
				next()
			}
			stage.steps(one)
		})
	})
}
