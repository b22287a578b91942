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
	// maximumHead and maximumBody bound what a runner reads of a request, in bytes.
	maximumHead = 128 << 10
	maximumBody = 4 << 20
	// maximumConnections is how many connections a runner serves at once.
	maximumConnections = 4096
	// idleTimeout is how long a runner keeps a connection without a request.
	idleTimeout = 30 * time.Second
)

// Identity is what a runner is, and where.
type Identity struct {
	// ID is the runner's own: no other runner ever has it.
	ID string
	// Address is the ip:port at which it listens.
	Address string
	Zone    string
	// Service, Model, Weights and Adapters are what it says that it serves.
	Service, Model, Weights string
	Adapters                []string
	// Backend is the backend of the configuration that it belongs to, for the histories.
	Backend string
}

// Runner is an emulated runner. Start makes one.
type Runner struct {
	Identity
	// Faults are the ways in which it misbehaves now.
	Faults Faults

	profile     RunnerProfile
	history     *histories.History
	started     time.Time
	engine      *engine
	workload    *workload
	connections *connectionSet
	listener    net.Listener
	server      *fasthttp.Server
	stopped     chan struct{}
	stop        sync.Once
	background  sync.WaitGroup
}

// Start starts a runner that listens at its address and records what it reads. It runs until Crash; the
// context is for opening the address alone.
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
		workload:    &workload{slots: profile.Slots},
		connections: newConnectionSet(),
		listener:    listener,
		stopped:     make(chan struct{}),
	}
	runner.engine = newEngine(profile, &runner.Faults, runner.started, runner.stopped)
	runner.server = &fasthttp.Server{
		Handler:            runner.handle,
		Name:               "runner",
		ReadBufferSize:     maximumHead,
		MaxRequestBodySize: maximumBody,
		Concurrency:        maximumConnections,
		IdleTimeout:        idleTimeout,
		NoDefaultDate:      true,
		ConnState:          runner.connections.track,
	}
	runner.background.Go(func() {
		// A runner that was stopped ends its serving with an error that says just that.
		_ = runner.server.Serve(listener)
	})
	runner.background.Go(runner.observe)
	return runner, nil
}

// listen opens an address for the life of a server, which closes it.
func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// Capacity returns how many of the runner's slots are free, and how many it has; one that is unresponsive or warming
// up has none.
func (runner *Runner) Capacity() (free, slots int) {
	if runner.Faults.Unresponsive.Load() || runner.profile.isWarmingUp(time.Since(runner.started)) {
		return 0, 0
	}
	return max(0, runner.profile.Slots-runner.workload.count()), runner.profile.Slots
}

// CacheUse returns how many tokens the runner found in its cache, of how many in all prompts.
func (runner *Runner) CacheUse() (cached, prompted int64) {
	return runner.engine.cachedTokens.Load(), runner.engine.promptTokens.Load()
}

// Crash ends the runner at once: its address refuses connections and every connection is reset. A second call does
// nothing.
func (runner *Runner) Crash() {
	runner.stop.Do(func() {
		close(runner.stopped)
		// The listener is open until here, so that its close can't fail.
		_ = runner.listener.Close()
		runner.connections.reset()
		runner.background.Wait()
	})
}

// observe takes load reports until the runner ends.
func (runner *Runner) observe() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			runner.workload.observe(now)
		case <-runner.stopped:
			return
		}
	}
}
