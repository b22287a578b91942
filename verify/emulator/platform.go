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
	// ListLag is by how much the platform's list and its opinion of daemons trail the truth.
	ListLag = 500 * time.Millisecond
	// probeTimeout is how long a daemon may take to say that it is ready.
	probeTimeout = 300 * time.Millisecond
	// probeIdleTimeout is how long the platform keeps an idle connection to a daemon.
	probeIdleTimeout = time.Second
	// pathReadiness is the daemons' path for readiness.
	pathReadiness = "/fitness"
)

// Platform is the emulated platform. NewPlatform makes one.
type Platform struct {
	history    *histories.History
	runners    *runnerList
	daemons    *daemonPool
	client     *fasthttp.Client
	server     *fasthttp.Server
	listener   net.Listener
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// NewPlatform starts a platform that serves its list at an address, on any path, until Close. daemons are the HTTP
// addresses of the data daemons by zone, the seed is that of the choice among them. The context is for opening the
// address alone.
func NewPlatform(
	ctx context.Context,
	address string,
	daemons map[string][]string,
	history *histories.History,
	seed int64,
) (*Platform, error) {
	listener, err := listen(ctx, address)
	if err != nil {
		return nil, err
	}
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	platform := &Platform{
		history:  history,
		runners:  newRunnerList(),
		daemons:  newDaemonPool(daemons, seed),
		cancel:   cancel,
		listener: listener,
		client: &fasthttp.Client{
			ReadTimeout:         probeTimeout,
			WriteTimeout:        probeTimeout,
			MaxIdleConnDuration: probeIdleTimeout,
		},
	}
	platform.server = &fasthttp.Server{Handler: platform.handle, Name: "platform"}
	platform.background.Go(func() {
		// A server that was shut down ends its serving without an error, and one whose listener fails serves no more.
		_ = platform.server.Serve(listener)
	})
	platform.background.Go(func() { platform.follow(life) })
	return platform, nil
}

// Close ends the platform and waits for its connections to end.
func (platform *Platform) Close() {
	platform.cancel()
	// Connections that can't be closed end with the process.
	_ = platform.server.Shutdown()
	// A server that was shut down before it began to serve has not closed it.
	_ = platform.listener.Close()
	platform.background.Wait()
}

// Set lists a runner in a state from the next publication on.
func (platform *Platform) Set(runner *Runner, state State) {
	platform.runners.set(runner.Identity, state)
}

// Remove takes a runner off the list from the next publication on.
func (platform *Platform) Remove(runner *Runner) { platform.runners.remove(runner.ID) }

// Settled reports whether a runner has been listed as ready for as long as it takes to be used in full.
func (platform *Platform) Settled(runner *Runner) bool {
	return platform.runners.isSettled(runner.ID, time.Now())
}

// Pick returns the HTTP address of a daemon for a client of a zone: one in its zone where one is ready, or in
// another. It is empty where no daemon is ready.
func (platform *Platform) Pick(zone string) string { return platform.daemons.pick(zone) }

func (platform *Platform) handle(request *fasthttp.RequestCtx) {
	request.SetContentType("application/json")
	request.SetBody(platform.runners.content())
}

// follow makes the list, and the opinion of daemons, trail the truth.
func (platform *Platform) follow(ctx context.Context) {
	ticker := time.NewTicker(ListLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			platform.publish()
			platform.probe()
		case <-ctx.Done():
			return
		}
	}
}

// publish publishes the list and records who left.
func (platform *Platform) publish() {
	now := time.Now()
	left, inService, err := platform.runners.publish(now)
	if err != nil {
		// The previous list stays published.
		return
	}
	recordDrains(platform.history, now, left, inService)
}

// probe asks every daemon whether it is ready, and waits for all of them.
func (platform *Platform) probe() {
	var probes sync.WaitGroup
	for _, address := range platform.daemons.addresses() {
		probes.Go(func() {
			status, _, err := platform.client.GetTimeout(nil, "http://"+address+pathReadiness, probeTimeout)
			platform.daemons.setReady(address, err == nil && status == fasthttp.StatusOK)
		})
	}
	probes.Wait()
}
