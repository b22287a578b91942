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
	settings.Reserves = !settings.Codec.SingleUse()
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
		Name:         settings.Address,
		Zone:         settings.Zone,
		Environment:  plane.environment,
		Started:      plane.started,
		Codec:        settings.Codec,
		Retries:      settings.Retries,
		Disabled:     settings.Without,
		Await:        settings.Await,
		Snapshot:     plane.snapshot.Load,
		Renewed:      func() <-chan struct{} { return *plane.renewed.Load() },
		Daemons:      plane.Daemons,
		Loads:        loads,
		Indexer:      indexer,
		Connections:  connections,
		Metrics:      metrics.New(),
		Scheduler:    func(backend string) *scheduler.Scheduler { return plane.schedulers.get(backend) },
		Dedup:        dispatched,
		Reservations: plane.reservations(settings.Reserves),
		Announce: func(key dedup.Key, dropped bool) {
			plane.Step(func(_ time.Time, machine *controller.Controller) { machine.NotifyDispatched(key[:], dropped) })
		},
		Quota: settings.Quota,
		RequestQuota: func() {
			plane.Step(func(now time.Time, machine *controller.Controller) { machine.RequestQuota(now) })
		},
	}
}

// Started returns when this plane was created.
func (plane *Plane) Started() time.Time { return plane.started }

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
