// Package dataplane wires the data plane of one daemon, without its listeners: the controller and its lock, the
// schedulers, the load table, the prefix cache index, the connections to runners and the proxy's handler.
//
// The owner of a Plane, a process or the simulator, passes events to the controller through Step and calls the periodic
// methods at the intervals defined here.
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

// Intervals at which the owner calls the controller's Tick and the plane's periodic methods.
const (
	TickInterval              = 50 * time.Millisecond
	RebalanceInterval         = 20 * time.Millisecond
	ProbeInterval             = 250 * time.Millisecond
	IndexAgingInterval        = 30 * time.Second
	UnresponsiveProbeInterval = 100 * time.Millisecond
)

// Settings configures a plane. The controller's settings are embedded; New sets their Quota,
// ReservationsEnabled and OnDispatched.
type Settings struct {
	controller.Settings
	// Workers is the number of goroutines that apply events to the index; 0 applies each event synchronously.
	Workers int
	// Retries limits retries across all daemons; the zero value means retrybudget.DefaultSettings.
	Retries retrybudget.Settings
	// Disabled holds the disabled features.
	Disabled features.Set
	// Codec is the protocol of clients and runners; nil means codec.Native.
	Codec codec.Codec
	// Random seeds the controller and the schedulers.
	Random *rand.Rand
	// Await waits for the next decision on a queued request; decided is false if the context was done first.
	Await func(ctx context.Context, decisions <-chan scheduler.Decision) (decision scheduler.Decision, decided bool)
	// Send sends messages to other processes, without blocking.
	Send func(messages []statemachine.Message)
	// Poll starts reading the platform's list of runners, without blocking. The owner passes the result to OnPolled.
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
	// drainStarted is the time of the call of Drain.
	drainStarted time.Time
	// snapshot is the controller's state after its last step.
	snapshot atomic.Pointer[config.Snapshot]
	// renewed is closed and replaced when a new snapshot is valid for longer than the previous one.
	renewed atomic.Pointer[chan struct{}]
	// daemons holds the addresses of all daemons in the directory, including this one.
	daemons atomic.Pointer[[]string]

	// mutex protects the fields below.
	mutex      sync.Mutex
	controller *controller.Controller
	// runners, specEpoch and serving are those of the snapshot that was applied last.
	runners   []*wire.Runner
	specEpoch uint64
	serving   bool
}

// New returns a plane without a configuration and without runners. It fails only if the index can't be created.
func New(environment netio.Environment, settings Settings) (*Plane, error) {
	now := environment.Now()
	indexer, err := kvblock.NewIndexer(
		kvblock.DefaultSeed, kvblock.DefaultKeys, kvblock.DefaultRunners, settings.Workers)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "creating the prefix cache index")
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
	settings.Quota.OnDemand = settings.Disabled[features.QuotaPrefetch]
	settings.ReservationsEnabled = !settings.Codec.SingleUse()
	settings.OnDispatched = func(now time.Time, key []byte, dropped bool) {
		if len(key) == len(dedup.Key{}) {
			dispatched.RecordAnnounced(now, dedup.Key(key), dropped)
		}
	}
	// The order of the random draws must stay the same, so that a simulation with the same seed repeats: the controller's
	// source is seeded first, then that of each scheduler when it is created.
	controllerRandom := rand.New(rand.NewSource(settings.Random.Int63()))
	plane.controller = controller.New(now, settings.Settings, controllerRandom)
	plane.snapshot.Store(&config.Snapshot{})
	plane.replaceRenewed()
	plane.daemons.Store(&[]string{settings.Address})
	plane.Handler = plane.newHandler(settings, indexer, dispatched)
	plane.schedulers = newSchedulerSet(settings.Random, func(backend string, random *rand.Rand) *scheduler.Scheduler {
		created := scheduler.NewScheduler(plane.candidates(backend), plane.Handler.Loads, indexer, random)
		created.Disabled = settings.Disabled
		return created
	})
	plane.prober = &prober{
		environment: environment,
		loads:       plane.Handler.Loads,
		connections: plane.Handler.Connections,
		codec:       settings.Codec,
		disabled:    settings.Disabled,
		daemons:     plane.Daemons,
	}
	return plane, nil
}

// newHandler returns the handler of client requests.
func (plane *Plane) newHandler(settings Settings, indexer *kvblock.Indexer, dispatched *dedup.Table) *proxy.Handler {
	loads := load.NewTable(plane.started, settings.Address)
	loads.Disabled = settings.Disabled
	connections := connpool.New(plane.environment, settings.Codec.IdentityPath())
	connections.IsForeign = settings.Codec.RespondsToClient
	return &proxy.Handler{
		Name:         settings.Address,
		Zone:         settings.Zone,
		Environment:  plane.environment,
		Started:      plane.started,
		Codec:        settings.Codec,
		Retries:      settings.Retries,
		Disabled:     settings.Disabled,
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
		Reservations: plane.reservations(settings.ReservationsEnabled),
		Announce: func(key dedup.Key, dropped bool) {
			plane.Step(func(_ time.Time, machine *controller.Controller) { machine.NotifyDispatched(key[:], dropped) })
		},
		Quota: settings.Quota,
		RequestQuota: func() {
			plane.Step(func(now time.Time, machine *controller.Controller) { machine.RequestQuota(now) })
		},
	}
}

// Started returns the time at which the plane was created.
func (plane *Plane) Started() time.Time { return plane.started }

// AgeIndex removes index entries that have been idle for too long.
func (plane *Plane) AgeIndex() {
	now := plane.environment.Now()
	for _, runner := range plane.Handler.Loads.Runners(now, nil) {
		plane.Handler.Indexer.Pool.Add(kvblock.IdleBlocksExpired{Runner: runner.ID, Now: now})
	}
}

// ProbeStale requests a load report from every runner whose latest one is outdated.
func (plane *Plane) ProbeStale() { plane.prober.probeStale() }

// ProbeUnresponsive probes the runners whose connections are inactive while a request waits. If a runner does not
// respond, the requests that wait for it may be retried at another one.
func (plane *Plane) ProbeUnresponsive() { plane.prober.probeUnresponsive() }
