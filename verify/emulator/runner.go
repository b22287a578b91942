package emulator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/verify/histories"
)

const (
	// maximumHeaderBytes and maximumBodyBytes bound the headers and the body of a request, in bytes.
	maximumHeaderBytes = 128 << 10
	maximumBodyBytes   = 4 << 20
	// maximumConnections bounds a runner's concurrent connections.
	maximumConnections = 4096
	// idleTimeout bounds the idle time of a connection.
	idleTimeout = 30 * time.Second
)

// Identity identifies a runner, its location and the model that it serves.
type Identity struct {
	// ID is unique: no other runner has or had it.
	ID string
	// Address is the listen address, ip:port.
	Address string
	Zone    string
	// Service, Model, Weights and Adapters are the properties that the runner returns on GET /identity.
	Service, Model, Weights string
	Adapters                []string
	// Backend is the name of the runner's backend in the configuration; only the histories contain it.
	Backend string
}

// Runner is an emulated runner. Start creates one.
type Runner struct {
	Identity
	// Faults are the runner's current faults.
	Faults Faults

	profile     RunnerProfile
	history     *histories.History
	started     time.Time
	engine      *engine
	requests    *requestCounter
	connections *connectionSet
	listener    net.Listener
	server      *fasthttp.Server
	stopped     chan struct{}
	stop        sync.Once
	background  sync.WaitGroup
}

// Start starts a runner that listens at its address and records the requests that it reads. It runs until Crash; the
// context limits only the opening of the address.
func Start(
	ctx context.Context,
	identity Identity,
	profile RunnerProfile,
	history *histories.History,
) (*Runner, error) {
	listener, err := listen(ctx, identity.Address)
	if err != nil {
		return nil, err
	}
	runner := &Runner{
		Identity:    identity,
		profile:     profile,
		history:     history,
		started:     time.Now(),
		requests:    &requestCounter{slots: profile.Slots},
		connections: newConnectionSet(),
		listener:    listener,
		stopped:     make(chan struct{}),
	}
	runner.engine = newEngine(profile, &runner.Faults, runner.started, runner.stopped)
	runner.server = &fasthttp.Server{
		Handler:            runner.handle,
		Name:               "runner",
		ReadBufferSize:     maximumHeaderBytes,
		MaxRequestBodySize: maximumBodyBytes,
		Concurrency:        maximumConnections,
		IdleTimeout:        idleTimeout,
		NoDefaultDate:      true,
		ConnState:          runner.connections.track,
	}
	runner.background.Go(func() {
		// Serve returns an error when Crash closes the listener.
		_ = runner.server.Serve(listener)
	})
	runner.background.Go(runner.recordReports)
	return runner, nil
}

// listen opens a TCP listener, which the caller closes.
func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// Capacity returns the number of free slots and of all slots; both are 0 if the runner is unresponsive or warming up.
func (runner *Runner) Capacity() (free, slots int) {
	if runner.Faults.Unresponsive.Load() || runner.profile.isWarmingUp(time.Since(runner.started)) {
		return 0, 0
	}
	return max(0, runner.profile.Slots-runner.requests.count()), runner.profile.Slots
}

// CacheUse returns the number of prompt tokens that the runner found in its cache, and the number of all prompt tokens.
func (runner *Runner) CacheUse() (cached, prompted int64) {
	return runner.engine.cachedTokens.Load(), runner.engine.promptTokens.Load()
}

// Crash stops the runner abruptly: its address refuses connections and every open connection is reset. Later calls have
// no effect.
func (runner *Runner) Crash() {
	runner.stop.Do(func() {
		close(runner.stopped)
		// Only this call closes the listener, so that Close doesn't fail.
		_ = runner.listener.Close()
		runner.connections.reset()
		runner.background.Wait()
	})
}

// recordReports records load reports until the runner stops.
func (runner *Runner) recordReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			runner.requests.recordReport(now)
		case <-runner.stopped:
			return
		}
	}
}
