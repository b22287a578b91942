// Package plane is the data plane of one machine without its sockets: the controller under its lock, the
// schedulers, the runners' book, index and links, and what is done with the platform's list. The process and
// the simulator drive the same.
package dataplane

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math/rand"
	"reflect"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/coordination/quota"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane/controller"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
	"wardtray/wire"
)

// How often a driver calls Tick, Settle, AskPressures and Age.
const (
	TickEvery     = 50 * time.Millisecond
	SettleEvery   = 20 * time.Millisecond
	PressureEvery = 250 * time.Millisecond
	AgeEvery      = 30 * time.Second
	pressureBound = 800 * time.Millisecond
	// WatchEvery is how often a driver calls Watch; silentBound is after what silence a runner is asked whether it
	// is there, and watchBound within what time it has to say so.
	WatchEvery  = 100 * time.Millisecond
	silentBound = 200 * time.Millisecond
	watchBound  = 250 * time.Millisecond
)

// Settings is what a plane is given.
type Settings struct {
	controller.Settings
	// Workers are the index's; without any, events are applied at once.
	Workers int
	// Retries bounds what is sent again, over all daemons; the zero value stands for retrybudget.Default.
	Retries retrybudget.Settings
	// Without names the mechanisms that are switched off.
	Without features.Set
	// Codec is how clients and runners speak; the product's own if it is not given.
	Codec  codec.Codec
	Random *rand.Rand
	Await  func(ctx context.Context, steps <-chan scheduler.Decision) (step scheduler.Decision, decided bool)
	// Send carries messages out; Poll begins to read the platform's list, whose outcome goes to Listed.
	Send func(parcels []statemachine.Message)
	Poll func()
	Log  *slog.Logger
}

// Plane is the whole.
type Plane struct {
	Handler     *proxy.Handler
	environment netio.Environment
	log         *slog.Logger
	send        func(parcels []statemachine.Message)
	poll        func()
	address     string
	started     time.Time
	// drainStarted is when a planned stop began.
	drainStarted time.Time
	snapshot     atomic.Pointer[config.Snapshot]
	// renewed is closed, and made anew, when the snapshot may be relied on for longer than before.
	renewed atomic.Pointer[chan struct{}]
	daemons atomic.Pointer[[]string]

	mutex   sync.Mutex
	machine *controller.Controller
	runners []*wire.Runner
	epoch   uint64
	serving bool

	schedulerMutex sync.RWMutex
	random         *rand.Rand
	schedulers     map[string]*scheduler.Scheduler
	asking         sync.Map
	without        features.Set
}

// New makes a plane that knows nothing yet.
func New(environment netio.Environment, settings Settings) (*Plane, error) {
	now := environment.Now()
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, kvblock.DefaultKeys, kvblock.DefaultRunners, settings.Workers)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "making the index")
	}
	plane := &Plane{environment: environment, log: settings.Log, send: settings.Send, poll: settings.Poll, address: settings.Address, started: now, random: settings.Random, schedulers: map[string]*scheduler.Scheduler{}, without: settings.Without}
	if settings.Codec == nil {
		settings.Codec = codec.Native{}
	}
	memory := dedup.New()
	settings.Quota = quota.NewLimiter()
	settings.Quota.OnDemand = settings.Without[features.TokensAhead]
	settings.OnTaken = func(now time.Time, key []byte, dropped bool) {
		if len(key) == len(dedup.Key{}) {
			memory.Heard(now, dedup.Key(key), dropped)
		}
	}
	plane.machine = controller.New(now, settings.Settings, rand.New(rand.NewSource(settings.Random.Int63())))
	plane.snapshot.Store(&config.Snapshot{})
	plane.renew()
	plane.daemons.Store(&[]string{settings.Address})
	plane.Handler = &proxy.Handler{Name: settings.Address, Zone: settings.Zone, Environment: environment, Started: now, Codec: settings.Codec, Retries: settings.Retries, Await: settings.Await, Snapshot: plane.snapshot.Load, Renewed: func() <-chan struct{} { return *plane.renewed.Load() },
		Daemons: func() []string { return *plane.daemons.Load() }, Loads: load.NewTable(now, settings.Address), Indexer: indexer,
		Connections: connpool.New(environment, settings.Codec.Identity()), Metrics: metrics.New(), Scheduler: plane.scheduler,
		Once: memory, Tell: func(key dedup.Key, dropped bool) {
			plane.Step(func(_ time.Time, machine *controller.Controller) { machine.TellTaken(key[:], dropped) })
		}}
	plane.Handler.Quota, plane.Handler.AskQuota = settings.Quota, func() {
		plane.Step(func(now time.Time, machine *controller.Controller) { machine.AskQuota(now) })
	}
	plane.Handler.Without, plane.Handler.Loads.Without = settings.Without, settings.Without
	plane.Handler.Connections.Foreign = settings.Codec.Foreign
	return plane, nil
}

// Step runs one step of the controller under its lock, then makes what it knows visible to requests and
// carries out what it asks for.
func (plane *Plane) Step(do func(now time.Time, machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	now := plane.environment.Now()
	do(now, plane.machine)
	plane.send(plane.machine.Drain())
	snapshot := plane.machine.Snapshot(now)
	previous := plane.snapshot.Swap(&snapshot)
	plane.follow(now, snapshot)
	if snapshot.Until.After(previous.Until) {
		close(*plane.renew())
	}
	if plane.machine.WantsPoll() {
		plane.poll()
	}
}

// renew makes the channel by which requests wait for the next renewal, and gives the one before.
func (plane *Plane) renew() *chan struct{} {
	next := make(chan struct{})
	return plane.renewed.Swap(&next)
}

// Drain begins a planned stop: fitness fails, and what comes yet is still taken.
func (plane *Plane) Drain() {
	plane.drainStarted = plane.environment.Now()
	plane.Handler.Draining.Store(true)
	plane.Step(func(_ time.Time, machine *controller.Controller) { machine.Leave() })
}

// Drained tells whether the platform has had a length of time to see that, and all that was read is answered.
func (plane *Plane) Drained(length time.Duration) bool {
	return plane.environment.Now().Sub(plane.drainStarted) >= length && plane.Handler.InFlight.Load() == 0
}

// Fit tells whether clients should be sent here.
func (plane *Plane) Fit() bool {
	snapshot := plane.Snapshot()
	// Who knows no runner serves nobody; clients do better elsewhere until it has heard of some.
	return !plane.Handler.Draining.Load() && plane.environment.Now().Before(snapshot.Until) && snapshot.Catalog != nil && (len(snapshot.Runners) > 0 || len(snapshot.Catalog.Routes) == 0)
}

// Listed takes what the platform answered.
func (plane *Plane) Listed(content []byte, read bool) {
	runners, fine := readList(content)
	plane.Step(func(now time.Time, machine *controller.Controller) { machine.Polled(now, runners, !read || !fine) })
}

// follow hands on what changed and logs changes of state.
func (plane *Plane) follow(now time.Time, snapshot config.Snapshot) {
	if (len(snapshot.Runners) > 0 || snapshot.Registered) && !sameList(snapshot.Runners, plane.runners) {
		plane.runners = snapshot.Runners
		for _, gone := range plane.Handler.Loads.List(now, snapshot.Runners) {
			plane.Handler.Indexer.Pool.Add(kvblock.RunnerGone{Runner: gone})
			plane.Handler.Connections.Forget(gone)
		}
	}
	if snapshot.SpecEpoch != plane.epoch {
		plane.epoch = snapshot.SpecEpoch
		plane.log.Info("new spec", "epoch", plane.epoch)
	}
	if serving := now.Before(snapshot.Until); serving != plane.serving {
		plane.serving = serving
		plane.log.Info("serving", "serving", serving)
	}
	var daemons []string
	for _, member := range plane.machine.Directory() {
		daemons = append(daemons, member.Address)
	}
	if len(daemons) == 0 {
		daemons = []string{plane.address}
	}
	if !reflect.DeepEqual(daemons, *plane.daemons.Load()) {
		plane.daemons.Store(&daemons)
	}
}

func sameList(left, right []*wire.Runner) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}

// Snapshot gives what requests go by now.
func (plane *Plane) Snapshot() *config.Snapshot { return plane.snapshot.Load() }

// Daemons gives who shares the work.
func (plane *Plane) Daemons() []string { return *plane.daemons.Load() }

// Started gives when this plane was made.
func (plane *Plane) Started() time.Time { return plane.started }

// Look runs something under the controller's lock.
func (plane *Plane) Look(do func(machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	do(plane.machine)
}

// scheduler gives the scheduler of a backend, made when it is first asked for.
func (plane *Plane) scheduler(backend string) *scheduler.Scheduler {
	plane.schedulerMutex.RLock()
	found := plane.schedulers[backend]
	plane.schedulerMutex.RUnlock()
	if found != nil {
		return found
	}
	scene := func(now time.Time) scheduler.Snapshot {
		snapshot, daemons := plane.snapshot.Load(), *plane.daemons.Load()
		if snapshot.Catalog == nil || snapshot.Catalog.Backends[backend] == nil {
			return scheduler.Snapshot{Daemons: 1}
		}
		var permitted []load.Runner
		for _, runner := range plane.Handler.Loads.All(now, daemons) {
			if proxy.Permits(snapshot.Catalog, snapshot.Catalog.Backends[backend], runner) {
				permitted = append(permitted, runner)
			}
		}
		return scheduler.Snapshot{Runners: permitted, Daemons: len(daemons), Pool: *snapshot.Catalog.Backends[backend]}
	}
	plane.schedulerMutex.Lock()
	defer plane.schedulerMutex.Unlock()
	if plane.schedulers[backend] == nil {
		made := scheduler.NewScheduler(scene, plane.Handler.Loads, plane.Handler.Indexer, rand.New(rand.NewSource(plane.random.Int63())))
		made.Without = plane.without
		plane.schedulers[backend] = made
	}
	return plane.schedulers[backend]
}

// Schedulers calls something for each scheduler, in the order of their backends' names.
func (plane *Plane) Schedulers(do func(backend string, desk *scheduler.Scheduler)) {
	plane.schedulerMutex.RLock()
	names := make([]string, 0, len(plane.schedulers))
	for name := range plane.schedulers {
		names = append(names, name)
	}
	plane.schedulerMutex.RUnlock()
	sort.Strings(names)
	for _, name := range names {
		do(name, plane.scheduler(name))
	}
}

// Settle looks at everybody who waits.
func (plane *Plane) Settle() {
	plane.Schedulers(func(_ string, desk *scheduler.Scheduler) {
		if desk.Waiting() {
			desk.Rebalance(plane.environment.Now())
		}
	})
}

// Age lets the index forget what was not used for long.
func (plane *Plane) Age() {
	now := plane.environment.Now()
	for _, runner := range plane.Handler.Loads.All(now, nil) {
		plane.Handler.Indexer.Pool.Add(kvblock.Aged{Runner: runner.ID, Now: now})
	}
}

// ListedRunner is one runner as the platform lists it.
type ListedRunner struct {
	RunnerID string `json:"runner_id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	State    string `json:"state"`
}

// readList reads the platform's list; it tells whether there is anything to go by.
func readList(content []byte) (runners []*wire.Runner, fine bool) {
	var lines []ListedRunner
	// An empty list is more likely a platform in trouble than a fleet without runners, and acting on it would stop all service.
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(&lines); err != nil || len(lines) == 0 {
		return nil, false
	}
	for _, line := range lines {
		if line.RunnerID == "" || line.Address == "" {
			continue
		}
		runners = append(runners, &wire.Runner{RunnerId: line.RunnerID, Address: line.Address, Zone: line.Zone, Service: line.Service, State: line.State})
	}
	return runners, true
}

// fewDaemons is up to how many daemons each asks as if it were alone.
const fewDaemons = 12

// freshness is for how long a runner's word is good enough not to be asked for.
//
// Why longer among many daemons: the runners are asked by all of them together, and a word that no answer brought
// is too old for a decision a moment later anyway. Silent runners are found by those who wait for them.
func (plane *Plane) freshness() time.Duration {
	return plane.Handler.Codec.Fresh() * time.Duration(max(fewDaemons, len(plane.Daemons()))) / fewDaemons
}

// AskPressures asks every runner for its pressure whose word is no longer fresh, none twice at once.
func (plane *Plane) AskPressures() {
	if plane.without[features.Reports] {
		return
	}
	freshness := plane.freshness()
	for _, runner := range plane.Handler.Loads.Stale(plane.environment.Now(), freshness, freshness == 0) {
		plane.askOnce(runner, pressureBound, func() {})
	}
}

// askOnce asks a runner beside the caller's work, unless it is being asked already; unheard runs if it gives no answer.
func (plane *Plane) askOnce(runner load.Runner, bound time.Duration, unheard func()) {
	if _, already := plane.asking.LoadOrStore(runner.ID, true); already {
		return
	}
	plane.environment.Go(func() {
		defer plane.asking.Delete(runner.ID)
		if !plane.ask(runner, bound) {
			unheard()
		}
	})
}

// Watch asks runners that are waited for in silence whether they are there at all. One that does not say so is
// left alone, and who may go elsewhere does.
//
// Why asked: a runner that reads a long prompt is as silent as a dark one, but it answers this at once.
func (plane *Plane) Watch() {
	if plane.without[features.Watch] {
		return
	}
	for _, runner := range plane.Handler.Connections.Silent(silentBound) {
		if known, found := plane.Handler.Loads.One(plane.environment.Now(), runner, nil); found {
			plane.askOnce(known, watchBound, func() { plane.Handler.Connections.Hurry(runner, silentBound) })
		}
	}
}

// ask asks a runner for its pressure within a bound; it tells whether there was an answer.
func (plane *Plane) ask(runner load.Runner, bound time.Duration) bool {
	connection, err := plane.Handler.Connections.Take(runner.ID, runner.Address)
	if err != nil {
		plane.missed(runner.ID, apierror.Of(err))
		return false
	}
	content, err := connection.Get(plane.Handler.Codec.Probe(), bound)
	report := load.Report{}
	if err == nil {
		report, err = plane.Handler.Codec.Report(content)
	}
	if apierror.Is(err, apierror.NotAnswered) {
		// Whoever refuses a question is there, and the connection is as good as before.
		plane.Handler.Connections.Keep(connection, 0)
		plane.Handler.Loads.ReportRefused(plane.environment.Now(), runner.ID)
		return true
	}
	if err != nil {
		_ = connection.Close()
		plane.missed(runner.ID, apierror.Of(err))
		return false
	}
	plane.Handler.Connections.Keep(connection, 0)
	plane.Handler.Loads.ReportGiven(plane.environment.Now(), runner.ID, report)
	return true
}

// missed takes in that a runner did not tell its pressure. One that is surely gone is given up at once:
// whoever waits for its answer learns of it now and not at the end of a patience.
func (plane *Plane) missed(runner string, err *apierror.Error) {
	if plane.Handler.Loads.Missed(plane.environment.Now(), runner, err.Code) {
		plane.Handler.Connections.Lose(runner)
	}
}
