// Package dataplane wires the data plane of one daemon, without its listeners: the controller under its lock, the
// schedulers, the load table, the index of cached blocks, the connections to runners and the proxy's handler.
//
// Its owner, a process or the simulator, feeds the controller through Step and calls the periodic methods at the
// intervals named here.
package dataplane

import (
	"context"
	"log/slog"
	"math/rand"
	"slices"
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

// The intervals at which the owner calls the controller's Tick and the plane's periodic methods.
const (
	TickInterval              = 50 * time.Millisecond
	RebalanceInterval         = 20 * time.Millisecond
	ProbeInterval             = 250 * time.Millisecond
	IndexAgingInterval        = 30 * time.Second
	UnresponsiveProbeInterval = 100 * time.Millisecond
)

// Settings are the settings of a plane. Those of the controller are embedded, of which New sets the quota limiter and
// the function for dispatched requests.
type Settings struct {
	controller.Settings
	// Workers is how many workers apply events to the index; 0 means that events are applied at once.
	Workers int
	// Retries limits retries, over all daemons; the zero value means retrybudget.DefaultSettings.
	Retries retrybudget.Settings
	// Without names the mechanisms that are switched off.
	Without features.Set
	// Codec is the protocol of clients and runners; nil means the product's own.
	Codec codec.Codec
	// Random seeds the controller and the schedulers.
	Random *rand.Rand
	// Await waits for the next decision on a queued request; decided is false if the context ended first.
	Await func(ctx context.Context, decisions <-chan scheduler.Decision) (decision scheduler.Decision, decided bool)
	// Send sends messages to other processes, without blocking.
	Send func(messages []statemachine.Message)
	// Poll starts to read the platform's list of runners, without blocking; the plane is given the result.
	Poll func()
	Log  *slog.Logger
}

// Plane is the data plane of one daemon. It is safe for concurrent use.
type Plane struct {
	// Handler handles the requests of clients.
	Handler     *proxy.Handler
	environment netio.Environment
	log         *slog.Logger
	send        func(messages []statemachine.Message)
	poll        func()
	address     string
	started     time.Time
	schedulers  *schedulerSet
	prober      *prober
	// drainStarted is when a planned stop started.
	drainStarted time.Time
	// snapshot is the controller's state after its last step.
	snapshot atomic.Pointer[config.Snapshot]
	// renewed is closed, and replaced, when the snapshot may be relied on for longer than before.
	renewed atomic.Pointer[chan struct{}]
	// daemons are the addresses of the daemons that share the work, this one included.
	daemons atomic.Pointer[[]string]

	// mutex protects the controller and what follows.
	mutex      sync.Mutex
	controller *controller.Controller
	runners    []*wire.Runner
	epoch      uint64
	serving    bool
}

// New returns a plane that knows nothing yet. It fails only if the index can't be created.
func New(environment netio.Environment, settings Settings) (*Plane, error) {
	now := environment.Now()
	indexer, err := kvblock.NewIndexer(
		kvblock.DefaultSeed, kvblock.DefaultKeys, kvblock.DefaultRunners, settings.Workers)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "making the index")
	}
	if settings.Codec == nil {
		settings.Codec = codec.Native{}
	}
	plane := &Plane{
		environment: environment,
		log:         settings.Log,
		send:        settings.Send,
		poll:        settings.Poll,
		address:     settings.Address,
		started:     now,
	}
	dispatched := dedup.New()
	settings.Quota = quota.NewLimiter()
	settings.Quota.OnDemand = settings.Without[features.QuotaPrefetch]
	settings.OnDispatched = func(now time.Time, key []byte, dropped bool) {
		if len(key) == len(dedup.Key{}) {
			dispatched.RecordAnnounced(now, dedup.Key(key), dropped)
		}
	}
	// The controller's source is drawn first, the schedulers' ones as they are created.
	controllerRandom := rand.New(rand.NewSource(settings.Random.Int63()))
	plane.controller = controller.New(now, settings.Settings, controllerRandom)
	plane.snapshot.Store(&config.Snapshot{})
	plane.renew()
	plane.daemons.Store(&[]string{settings.Address})
	plane.Handler = plane.newHandler(settings, indexer, dispatched)
	plane.schedulers = newSchedulerSet(settings.Random, func(backend string, random *rand.Rand) *scheduler.Scheduler {
		created := scheduler.NewScheduler(plane.candidates(backend), plane.Handler.Loads, indexer, random)
		created.Without = settings.Without
		return created
	})
	plane.prober = &prober{
		environment: environment,
		loads:       plane.Handler.Loads,
		connections: plane.Handler.Connections,
		codec:       settings.Codec,
		without:     settings.Without,
		daemons:     plane.Daemons,
	}
	return plane, nil
}

// newHandler returns the handler of clients' requests.
func (plane *Plane) newHandler(settings Settings, indexer *kvblock.Indexer, dispatched *dedup.Table) *proxy.Handler {
	loads := load.NewTable(plane.started, settings.Address)
	loads.Without = settings.Without
	connections := connpool.New(plane.environment, settings.Codec.IdentityPath())
	connections.IsForeign = settings.Codec.AnswersRequest
	return &proxy.Handler{
		Name:        settings.Address,
		Zone:        settings.Zone,
		Environment: plane.environment,
		Started:     plane.started,
		Codec:       settings.Codec,
		Retries:     settings.Retries,
		Disabled:    settings.Without,
		Await:       settings.Await,
		Snapshot:    plane.snapshot.Load,
		Renewed:     func() <-chan struct{} { return *plane.renewed.Load() },
		Daemons:     plane.Daemons,
		Loads:       loads,
		Indexer:     indexer,
		Connections: connections,
		Metrics:     metrics.New(),
		Scheduler:   func(backend string) *scheduler.Scheduler { return plane.schedulers.get(backend) },
		Dedup:       dispatched,
		Announce: func(key dedup.Key, dropped bool) {
			plane.Step(func(_ time.Time, machine *controller.Controller) { machine.NotifyDispatched(key[:], dropped) })
		},
		Quota: settings.Quota,
		RequestQuota: func() {
			plane.Step(func(now time.Time, machine *controller.Controller) { machine.RequestQuota(now) })
		},
	}
}

// Step runs one step of the controller under its lock, then publishes the new state to the request path and carries out
// what the controller asks for.
func (plane *Plane) Step(do func(now time.Time, machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	now := plane.environment.Now()
	do(now, plane.controller)
	plane.send(plane.controller.Ready())
	snapshot := plane.controller.Snapshot(now)
	previous := plane.snapshot.Swap(&snapshot)
	plane.follow(now, snapshot)
	if snapshot.Until.After(previous.Until) {
		close(*plane.renew())
	}
	if plane.controller.TakePollRequest() {
		plane.poll()
	}
}

// renew replaces the channel by which requests wait for the next renewal, and returns the previous one.
func (plane *Plane) renew() *chan struct{} {
	next := make(chan struct{})
	return plane.renewed.Swap(&next)
}

// Drain starts a planned stop: the daemon is no longer ready, but requests that still arrive are accepted.
func (plane *Plane) Drain() {
	plane.drainStarted = plane.environment.Now()
	plane.Handler.Draining.Store(true)
	plane.Step(func(_ time.Time, machine *controller.Controller) { machine.StartDraining() })
}

// Drained reports whether the platform has had some time to notice that, and no request is in flight.
func (plane *Plane) Drained(length time.Duration) bool {
	elapsed := plane.environment.Now().Sub(plane.drainStarted)
	return elapsed >= length && plane.Handler.InFlight.Load() == 0
}

// Ready reports whether the daemon is ready, so that clients should be sent to it.
func (plane *Plane) Ready() bool {
	snapshot := plane.Snapshot()
	if plane.Handler.Draining.Load() || snapshot.Catalog == nil || !plane.environment.Now().Before(snapshot.Until) {
		return false
	}
	// A daemon that knows no runner serves nobody; clients do better elsewhere until it knows some.
	return len(snapshot.Runners) > 0 || len(snapshot.Catalog.Routes) == 0
}

// OnPolled handles the platform's response to a poll; read is false if there was none.
func (plane *Plane) OnPolled(content []byte, read bool) {
	var runners []*wire.Runner
	failed := !read
	if read {
		var err error
		runners, err = parseList(content)
		failed = err != nil // The previous list stays; the next poll may return a better one.
	}
	plane.Step(func(now time.Time, machine *controller.Controller) { machine.OnPolled(now, runners, failed) })
}

// follow applies a new snapshot to the rest of the plane and logs changes of state. The caller holds the mutex.
func (plane *Plane) follow(now time.Time, snapshot config.Snapshot) {
	plane.followRunners(now, snapshot)
	if snapshot.SpecEpoch != plane.epoch {
		plane.epoch = snapshot.SpecEpoch
		plane.log.Info("new spec", "epoch", plane.epoch)
	}
	if serving := now.Before(snapshot.Until); serving != plane.serving {
		plane.serving = serving
		plane.log.Info("permission to serve changed", "serving", serving)
	}
	plane.followDirectory()
}

// followRunners removes runners that are no longer listed. An empty list of the platform changes nothing.
func (plane *Plane) followRunners(now time.Time, snapshot config.Snapshot) {
	listed := len(snapshot.Runners) > 0 || snapshot.Registered
	if !listed || sameList(snapshot.Runners, plane.runners) {
		return
	}
	plane.runners = snapshot.Runners
	for _, removed := range plane.Handler.Loads.UpdateListing(now, snapshot.Runners) {
		plane.Handler.Indexer.Pool.Add(kvblock.RunnerRemoved{Runner: removed})
		plane.Handler.Connections.Remove(removed)
	}
}

// followDirectory publishes the daemons of the configuration document; until there is one, this daemon alone.
func (plane *Plane) followDirectory() {
	directory := plane.controller.Directory()
	daemons := make([]string, 0, max(1, len(directory)))
	for _, member := range directory {
		daemons = append(daemons, member.Address)
	}
	if len(daemons) == 0 {
		daemons = append(daemons, plane.address)
	}
	if !slices.Equal(daemons, *plane.daemons.Load()) {
		plane.daemons.Store(&daemons)
	}
}

// sameList reports whether two lists are the very same one: the controller replaces a list that has changed.
func sameList(left, right []*wire.Runner) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}

// Snapshot returns the state that requests are handled by at this moment.
func (plane *Plane) Snapshot() *config.Snapshot { return plane.snapshot.Load() }

// Daemons returns the addresses of the daemons in the directory, in which a lost one stays for a minute.
func (plane *Plane) Daemons() []string { return *plane.daemons.Load() }

// Started returns when this plane was created.
func (plane *Plane) Started() time.Time { return plane.started }

// WithController calls a function with the controller, under its lock.
func (plane *Plane) WithController(do func(machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	do(plane.controller)
}

// candidates returns a function that returns the runners that the schedulers of a backend choose from at a moment.
func (plane *Plane) candidates(backend string) func(now time.Time) scheduler.Snapshot {
	return func(now time.Time) scheduler.Snapshot {
		snapshot, daemons := plane.Snapshot(), plane.Daemons()
		if snapshot.Catalog == nil || snapshot.Catalog.Backends[backend] == nil {
			return scheduler.Snapshot{Daemons: 1}
		}
		found := snapshot.Catalog.Backends[backend]
		var permitted []load.Runner
		for _, runner := range plane.Handler.Loads.Runners(now, daemons) {
			if proxy.Permits(snapshot.Catalog, found, runner) {
				permitted = append(permitted, runner)
			}
		}
		return scheduler.Snapshot{Runners: permitted, Daemons: len(daemons), Backend: *found}
	}
}

// Schedulers calls a function for each scheduler, in the order of the backends' names.
func (plane *Plane) Schedulers(do func(backend string, scheduler *scheduler.Scheduler)) {
	plane.schedulers.each(do)
}

// Rebalance lets the schedulers decide on waiting requests.
func (plane *Plane) Rebalance() {
	plane.Schedulers(func(_ string, scheduler *scheduler.Scheduler) {
		if scheduler.HasQueued() {
			scheduler.Rebalance(plane.environment.Now())
		}
	})
}

// AgeIndex removes index entries that have not been used for long.
func (plane *Plane) AgeIndex() {
	now := plane.environment.Now()
	for _, runner := range plane.Handler.Loads.Runners(now, nil) {
		plane.Handler.Indexer.Pool.Add(kvblock.IdleBlocksExpired{Runner: runner.ID, Now: now})
	}
}

// ProbeStale requests a load report from every runner whose latest one is outdated.
func (plane *Plane) ProbeStale() { plane.prober.probeStale() }

// ProbeUnresponsive checks the runners on which requests wait without any activity, and lets those requests be retried
// elsewhere if a runner does not respond.
func (plane *Plane) ProbeUnresponsive() { plane.prober.probeUnresponsive() }
