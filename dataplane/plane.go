// Package plane is the data plane of one machine without its sockets: the director under its lock, the
// desks, the runners' book, index and links, and what is done with the platform's list. The process and
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

// Startup is what a plane is given.
type Startup struct {
	controller.Startup
	// Workers are the index's; without any, events are applied at once.
	Workers int
	// Repeats bounds what is sent again, over all daemons; the zero value stands for retrybudget.Default.
	Repeats retrybudget.Settings
	// Without names the mechanisms that are switched off.
	Without features.Set
	// Speech is how requesters and runners speak; the product's own if it is not given.
	Speech codec.Speech
	Random *rand.Rand
	Await  func(ctx context.Context, steps <-chan scheduler.Step) (step scheduler.Step, decided bool)
	// Send carries messages out; Poll begins to read the platform's list, whose outcome goes to Listed.
	Send func(parcels []statemachine.Parcel)
	Poll func()
	Log  *slog.Logger
}

// Plane is the whole.
type Plane struct {
	Yard    *proxy.Yard
	world   netio.World
	log     *slog.Logger
	send    func(parcels []statemachine.Parcel)
	poll    func()
	address string
	begun   time.Time
	// drainBegun is when a planned stop began.
	drainBegun time.Time
	snapshot   atomic.Pointer[controller.Snapshot]
	// renewed is closed, and made anew, when the snapshot may be relied on for longer than before.
	renewed atomic.Pointer[chan struct{}]
	daemons atomic.Pointer[[]string]

	mutex    sync.Mutex
	director *controller.Director
	runners  []*wire.Runner
	epoch    uint64
	serving  bool

	deskMutex sync.RWMutex
	random    *rand.Rand
	desks     map[string]*scheduler.Desk
	asking    sync.Map
	without   features.Set
}

// New makes a plane that knows nothing yet.
func New(world netio.World, startup Startup) (*Plane, error) {
	now := world.Now()
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, kvblock.DefaultKeys, kvblock.DefaultRunners, startup.Workers)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "making the index")
	}
	plane := &Plane{world: world, log: startup.Log, send: startup.Send, poll: startup.Poll, address: startup.Address, begun: now, random: startup.Random, desks: map[string]*scheduler.Desk{}, without: startup.Without}
	if startup.Speech == nil {
		startup.Speech = codec.Own{}
	}
	memory := dedup.New()
	startup.Quota = quota.NewHolder()
	startup.Quota.OnDemand = startup.Without[features.TokensAhead]
	startup.OnTaken = func(now time.Time, key []byte, dropped bool) {
		if len(key) == len(dedup.Key{}) {
			memory.Heard(now, dedup.Key(key), dropped)
		}
	}
	plane.director = controller.New(now, startup.Startup, rand.New(rand.NewSource(startup.Random.Int63())))
	plane.snapshot.Store(&controller.Snapshot{})
	plane.renew()
	plane.daemons.Store(&[]string{startup.Address})
	plane.Yard = &proxy.Yard{Name: startup.Address, Zone: startup.Zone, World: world, Begun: now, Speech: startup.Speech, Repeats: startup.Repeats, Await: startup.Await, Snapshot: plane.snapshot.Load, Renewed: func() <-chan struct{} { return *plane.renewed.Load() },
		Daemons: func() []string { return *plane.daemons.Load() }, Book: load.NewBook(now, startup.Address), Indexer: indexer,
		Links: connpool.New(world, startup.Speech.Identity()), Tally: metrics.New(), Desk: plane.desk,
		Once: memory, Tell: func(key dedup.Key, dropped bool) {
			plane.Step(func(_ time.Time, director *controller.Director) { director.TellTaken(key[:], dropped) })
		}}
	plane.Yard.Quota, plane.Yard.AskQuota = startup.Quota, func() {
		plane.Step(func(now time.Time, director *controller.Director) { director.AskQuota(now) })
	}
	plane.Yard.Without, plane.Yard.Book.Without = startup.Without, startup.Without
	plane.Yard.Links.Foreign = startup.Speech.Foreign
	return plane, nil
}

// Step runs one step of the director under its lock, then makes what it knows visible to requests and
// carries out what it asks for.
func (plane *Plane) Step(do func(now time.Time, director *controller.Director)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	now := plane.world.Now()
	do(now, plane.director)
	plane.send(plane.director.Drain())
	snapshot := plane.director.Snapshot(now)
	former := plane.snapshot.Swap(&snapshot)
	plane.follow(now, snapshot)
	if snapshot.Until.After(former.Until) {
		close(*plane.renew())
	}
	if plane.director.WantsPoll() {
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
	plane.drainBegun = plane.world.Now()
	plane.Yard.Draining.Store(true)
	plane.Step(func(_ time.Time, director *controller.Director) { director.Leave() })
}

// Drained tells whether the platform has had a length of time to see that, and all that was read is answered.
func (plane *Plane) Drained(length time.Duration) bool {
	return plane.world.Now().Sub(plane.drainBegun) >= length && plane.Yard.InFlight.Load() == 0
}

// Fit tells whether requesters should be sent here.
func (plane *Plane) Fit() bool {
	snapshot := plane.Snapshot()
	// Who knows no runner serves nobody; requesters do better elsewhere until it has heard of some.
	return !plane.Yard.Draining.Load() && plane.world.Now().Before(snapshot.Until) && snapshot.Book != nil && (len(snapshot.Runners) > 0 || len(snapshot.Book.Lanes) == 0)
}

// Listed takes what the platform answered.
func (plane *Plane) Listed(content []byte, read bool) {
	runners, fine := readList(content)
	plane.Step(func(now time.Time, director *controller.Director) { director.Polled(now, runners, !read || !fine) })
}

// follow hands on what changed and logs changes of state.
func (plane *Plane) follow(now time.Time, snapshot controller.Snapshot) {
	if (len(snapshot.Runners) > 0 || snapshot.Registered) && !sameList(snapshot.Runners, plane.runners) {
		plane.runners = snapshot.Runners
		for _, gone := range plane.Yard.Book.List(now, snapshot.Runners) {
			plane.Yard.Indexer.Pool.Add(kvblock.RunnerGone{Runner: gone})
			plane.Yard.Links.Forget(gone)
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
	for _, member := range plane.director.Directory() {
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
func (plane *Plane) Snapshot() *controller.Snapshot { return plane.snapshot.Load() }

// Daemons gives who shares the work.
func (plane *Plane) Daemons() []string { return *plane.daemons.Load() }

// Begun gives when this plane was made.
func (plane *Plane) Begun() time.Time { return plane.begun }

// Look runs something under the director's lock.
func (plane *Plane) Look(do func(director *controller.Director)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	do(plane.director)
}

// desk gives the desk of a pool, made when it is first asked for.
func (plane *Plane) desk(pool string) *scheduler.Desk {
	plane.deskMutex.RLock()
	found := plane.desks[pool]
	plane.deskMutex.RUnlock()
	if found != nil {
		return found
	}
	scene := func(now time.Time) scheduler.Field {
		snapshot, daemons := plane.snapshot.Load(), *plane.daemons.Load()
		if snapshot.Book == nil || snapshot.Book.Pools[pool] == nil {
			return scheduler.Field{Daemons: 1}
		}
		var permitted []load.Runner
		for _, runner := range plane.Yard.Book.All(now, daemons) {
			if proxy.Permits(snapshot.Book, snapshot.Book.Pools[pool], runner) {
				permitted = append(permitted, runner)
			}
		}
		return scheduler.Field{Runners: permitted, Daemons: len(daemons), Pool: *snapshot.Book.Pools[pool]}
	}
	plane.deskMutex.Lock()
	defer plane.deskMutex.Unlock()
	if plane.desks[pool] == nil {
		made := scheduler.NewDesk(scene, plane.Yard.Book, plane.Yard.Indexer, rand.New(rand.NewSource(plane.random.Int63())))
		made.Without = plane.without
		plane.desks[pool] = made
	}
	return plane.desks[pool]
}

// Desks calls something for each desk, in the order of their pools' names.
func (plane *Plane) Desks(do func(pool string, desk *scheduler.Desk)) {
	plane.deskMutex.RLock()
	names := make([]string, 0, len(plane.desks))
	for name := range plane.desks {
		names = append(names, name)
	}
	plane.deskMutex.RUnlock()
	sort.Strings(names)
	for _, name := range names {
		do(name, plane.desk(name))
	}
}

// Settle looks at everybody who waits.
func (plane *Plane) Settle() {
	plane.Desks(func(_ string, desk *scheduler.Desk) {
		if desk.Waiting() {
			desk.Settle(plane.world.Now())
		}
	})
}

// Age lets the index forget what was not used for long.
func (plane *Plane) Age() {
	now := plane.world.Now()
	for _, runner := range plane.Yard.Book.All(now, nil) {
		plane.Yard.Indexer.Pool.Add(kvblock.Aged{Runner: runner.ID, Now: now})
	}
}

// ListLine is one runner as the platform lists it.
type ListLine struct {
	RunnerID string `json:"runner_id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	State    string `json:"state"`
}

// readList reads the platform's list; it tells whether there is anything to go by.
func readList(content []byte) (runners []*wire.Runner, fine bool) {
	var lines []ListLine
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
	return plane.Yard.Speech.Fresh() * time.Duration(max(fewDaemons, len(plane.Daemons()))) / fewDaemons
}

// AskPressures asks every runner for its pressure whose word is no longer fresh, none twice at once.
func (plane *Plane) AskPressures() {
	if plane.without[features.Reports] {
		return
	}
	freshness := plane.freshness()
	for _, runner := range plane.Yard.Book.Stale(plane.world.Now(), freshness, freshness == 0) {
		plane.askOnce(runner, pressureBound, func() {})
	}
}

// askOnce asks a runner beside the caller's work, unless it is being asked already; unheard runs if it gives no answer.
func (plane *Plane) askOnce(runner load.Runner, bound time.Duration, unheard func()) {
	if _, already := plane.asking.LoadOrStore(runner.ID, true); already {
		return
	}
	plane.world.Go(func() {
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
	for _, runner := range plane.Yard.Links.Silent(silentBound) {
		if known, found := plane.Yard.Book.One(plane.world.Now(), runner, nil); found {
			plane.askOnce(known, watchBound, func() { plane.Yard.Links.Hurry(runner, silentBound) })
		}
	}
}

// ask asks a runner for its pressure within a bound; it tells whether there was an answer.
func (plane *Plane) ask(runner load.Runner, bound time.Duration) bool {
	connection, err := plane.Yard.Links.Take(runner.ID, runner.Address)
	if err != nil {
		plane.missed(runner.ID, apierror.Of(err))
		return false
	}
	content, err := connection.Get(plane.Yard.Speech.Probe(), bound)
	report := load.Report{}
	if err == nil {
		report, err = plane.Yard.Speech.Report(content)
	}
	if apierror.Is(err, apierror.NotAnswered) {
		// Whoever refuses a question is there, and the connection is as good as before.
		plane.Yard.Links.Keep(connection, 0)
		plane.Yard.Book.ReportRefused(plane.world.Now(), runner.ID)
		return true
	}
	if err != nil {
		_ = connection.Close()
		plane.missed(runner.ID, apierror.Of(err))
		return false
	}
	plane.Yard.Links.Keep(connection, 0)
	plane.Yard.Book.ReportGiven(plane.world.Now(), runner.ID, report)
	return true
}

// missed takes in that a runner did not tell its pressure. One that is surely gone is given up at once:
// whoever waits for its answer learns of it now and not at the end of a patience.
func (plane *Plane) missed(runner string, err *apierror.Fault) {
	if plane.Yard.Book.Missed(plane.world.Now(), runner, err.Kind) {
		plane.Yard.Links.Lose(runner)
	}
}
