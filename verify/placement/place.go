// Package placement measures placement in simulated time: the daemons' own schedulers, books and indexes award
// a seeded mix to model runners, beside baselines that price otherwise.
package placement

import (
	"fmt"
	"math/rand"
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
	// Policy is one of PolicyNames.
	Policy  string
	Profile emulator.RunnerProfile
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
	budget    *retrybudget.Budget
	zone      string
	table     *load.Table
	scheduler *scheduler.Scheduler
	tickets   map[*scheduler.QueuedRequest]*job
	order     []*job
}

type job struct {
	kind          loadtest.Kind
	queuedRequest *scheduler.QueuedRequest
	started       time.Time
}

type stage struct {
	setting Setting
	world   *simulation.World
	random  *rand.Rand
	engines map[string]*engine
	list    []*engine
	daemons []*daemon
	results byRoute[Result]
}

// Measure plays a setting and returns results for each route and, under "", for all.
func Measure(setting Setting) (map[string]*Result, error) {
	stage := &stage{
		setting: setting,
		world:   simulation.NewWorld(setting.Seed),
		random:  rand.New(rand.NewSource(setting.Seed)),
		engines: map[string]*engine{},
		results: byRoute[Result]{allRoutes: {}},
	}
	for _, kind := range setting.Mix.Kinds {
		stage.results[kind.Route] = &Result{}
	}
	lines := make([]*wire.Runner, 0, setting.Runners)
	for number := range setting.Runners {
		made := &engine{
			id:    fmt.Sprintf("r%02d", number),
			zone:  setting.Zones[number%len(setting.Zones)],
			cache: emulator.NewCache[kvblock.BlockKey](setting.Profile.CacheTokens),
		}
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
		made := &daemon{
			budget:  retrybudget.New(retrybudget.DefaultSettings, nil),
			zone:    setting.Zones[number%len(setting.Zones)],
			table:   load.NewTable(stage.world.Now, name),
			tickets: map[*scheduler.QueuedRequest]*job{},
		}
		made.table.UpdateListing(stage.world.Now, lines)
		made.scheduler = scheduler.NewScheduler(func(now time.Time) scheduler.Snapshot {
			return scheduler.Snapshot{Runners: made.table.Runners(now, names), Daemons: len(names)}
		},
			made.table, indexer, rand.New(rand.NewSource(stage.random.Int63())))
		made.scheduler.Picker = policies[setting.Policy]
		stage.daemons = append(stage.daemons, made)
	}
	stage.observe()
	stage.redispatch()
	stage.arrive()
	stage.world.Run(setting.Length + 30*time.Second)
	return stage.results, nil
}

// observe takes reports every 100 ms; daemons read old ones every 250 ms.
func (stage *stage) observe() {
	world, age := stage.world, int(stage.setting.Profile.ReportAge/(100*time.Millisecond))
	var take func()
	take = func() {
		for _, engine := range stage.list {
			engine.reports = append(
				engine.reports,
				load.Report{
					Running: engine.running,
					Waiting: engine.active - engine.running,
					Slots:   stage.setting.Profile.Slots,
				},
			)
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
				one.table.RecordReport(world.Now, engine.id, engine.reports[0])
			}
			world.After(250*time.Millisecond, read)
		}
		world.After(time.Duration(stage.random.Int63n(int64(250*time.Millisecond))), read)
	}
}

func (stage *stage) redispatch() {
	for _, one := range stage.daemons {
		one.scheduler.Rebalance(stage.world.Now)
		stage.steps(one)
	}
	stage.world.After(20*time.Millisecond, stage.redispatch)
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
	queuedRequest := &scheduler.QueuedRequest{
		Route:            kind.Route,
		ConcurrencyLimit: kind.ConcurrencyLimit,
		Decisions:        make(chan scheduler.Decision, 1),
		PartTokens:       tokens,
		Keys:             keys.BlockKeys(parts, kvblock.Extra{Model: stage.setting.Mix.Model}),
		Requirements: scheduler.Requirements{
			Value:           kind.Value,
			LatencyTarget:   kind.LatencyTarget,
			PromptTokens:    drawn.PromptTokens(),
			Zone:            one.zone,
			ExcludedRunners: map[string]bool{},
		},
	}
	stage.results.update(kind.Route, func(result *Result) { result.Requests++ })
	one.budget.RecordRequest(stage.world.Now)
	stage.schedule(one, &job{kind: kind, queuedRequest: queuedRequest, started: stage.world.Now})
}

var keys = kvblock.NewTokenProcessor(kvblock.DefaultSeed)

func (stage *stage) schedule(one *daemon, job *job) {
	one.order = append(one.order, job)
	one.scheduler.Schedule(stage.world.Now, job.queuedRequest)
	stage.steps(one)
}

// steps obeys whatever a scheduler has decided.
func (stage *stage) steps(one *daemon) {
	waiting := one.order
	one.order = nil
	for _, job := range waiting {
		select {
		case step := <-job.queuedRequest.Decisions:
			if step.Kind == scheduler.Dispatch {
				stage.dispatch(one, job, step)
				continue
			}
			waited := stage.world.Now.Sub(job.started)
			stage.results.update(job.kind.Route, func(result *Result) { result.refused(waited) })
		default:
			one.order = append(one.order, job)
		}
	}
}

func (stage *stage) dispatch(one *daemon, job *job, step scheduler.Decision) {
	engine, profile := stage.engines[step.Runner.ID], stage.setting.Profile
	sent := stage.world.Now
	one.scheduler.RequestSent(sent, job.queuedRequest, step)
	if engine.active >= profile.Slots+profile.PutBackAbove {
		one.scheduler.RequestRejected(sent, job.queuedRequest, step)
		one.scheduler.Release(sent, job.queuedRequest, engine.id)
		job.queuedRequest.Requirements.ExcludedRunners[engine.id] = true
		stage.results.update(job.kind.Route, func(result *Result) { result.PutBack++ })
		if !one.budget.AllowRetry(sent) {
			stage.results.update(job.kind.Route, func(result *Result) { result.NoBudget++ })
			return
		}
		stage.schedule(one, job)
		return
	}
	engine.active++
	stage.results.update(job.kind.Route, func(result *Result) { result.MostAtOnce = max(result.MostAtOnce, engine.active) })
	run := func() { stage.run(one, job, step, engine, sent) }
	if engine.running < profile.Slots {
		run()
		return
	}
	engine.waiting = append(engine.waiting, run)
}

// run lets an engine work: prefills one after the other, answers side by side.
func (stage *stage) run(one *daemon, job *job, step scheduler.Decision, engine *engine, sent time.Time) {
	world, profile := stage.world, stage.setting.Profile
	engine.running++
	cached := engine.cache.Use(job.queuedRequest.Keys, job.queuedRequest.PartTokens)
	prompt := job.queuedRequest.Requirements.PromptTokens
	begin := world.Now
	if engine.free.After(begin) {
		begin = engine.free
	}
	first := begin.Add(time.Duration(prompt-cached) * profile.TokenTime)
	engine.free = first
	world.At(first, func() {
		one.scheduler.FirstEventReceived(job.queuedRequest, step, world.Now.Sub(sent))
		stage.results.update(job.kind.Route, func(result *Result) {
			result.First = append(result.First, world.Now.Sub(job.started))
			result.Cached += cached
			result.Prompted += prompt
			if engine.zone != one.zone {
				result.CrossZone++
			}
		})
		world.After(time.Duration(job.kind.Answer)*profile.AnswerTime, func() {
			engine.running--
			engine.active--
			stage.results.update(job.kind.Route, func(result *Result) { result.Done++ })
			one.scheduler.RequestCompleted(0, 0, world.Now.Sub(sent))
			one.scheduler.Release(world.Now, job.queuedRequest, engine.id)
			if len(engine.waiting) > 0 && engine.running < profile.Slots {
				next := engine.waiting[0]
				engine.waiting = engine.waiting[1:]
				next()
			}
			stage.steps(one)
		})
	})
}
