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
	// UpdateInterval is the interval at which the platform publishes its list and probes the daemons.
	UpdateInterval = 500 * time.Millisecond
	// probeTimeout bounds the response time of a readiness probe.
	probeTimeout = 300 * time.Millisecond
	// probeIdleTimeout bounds the idle time of a connection to a daemon.
	probeIdleTimeout = time.Second
	// pathReadiness is the path of the daemons' readiness probe.
	pathReadiness = "/fitness"
)

// Platform emulates the platform that lists the runners and assigns clients to daemons. NewPlatform creates one.
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

// NewPlatform starts a platform that serves its list of runners at an address, on any path, until Close. daemons holds
// the HTTP addresses of the data daemons by zone, seed the seed of the random choice among them. The context limits
// only the opening of the address.
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
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
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
		// Serve returns no error after Shutdown. If the listener fails, clients find that the list is unavailable.
		_ = platform.server.Serve(listener)
	})
	platform.background.Go(func() { platform.updatePeriodically(lifetime) })
	return platform, nil
}

// Close stops the platform and waits for its connections to end.
func (platform *Platform) Close() {
	platform.cancel()
	// Connections that can't be closed end when the process exits.
	_ = platform.server.Shutdown()
	// A server that was shut down before Serve was called hasn't closed the listener.
	_ = platform.listener.Close()
	platform.background.Wait()
}

// Set adds a runner to the list, or changes its state there, with the next publication.
func (platform *Platform) Set(runner *Runner, state State) {
	platform.runners.set(runner.Identity, state)
}

// Remove removes a runner from the list with the next publication.
func (platform *Platform) Remove(runner *Runner) { platform.runners.remove(runner.ID) }

// IsPastSlowStart reports whether a runner has been listed as ready for at least load.SlowStartDuration, after which
// daemons use its full capacity.
func (platform *Platform) IsPastSlowStart(runner *Runner) bool {
	return platform.runners.isPastSlowStart(runner.ID, time.Now())
}

// Pick returns the HTTP address of a random ready daemon for a client in a zone: in the client's zone if there is one,
// otherwise in any zone. It returns "" if no daemon is ready.
func (platform *Platform) Pick(zone string) string { return platform.daemons.pick(zone) }

func (platform *Platform) handle(request *fasthttp.RequestCtx) {
	request.SetContentType("application/json")
	request.SetBody(platform.runners.content())
}

// updatePeriodically publishes the list and probes the daemons until the context is done.
func (platform *Platform) updatePeriodically(ctx context.Context) {
	ticker := time.NewTicker(UpdateInterval)
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

// publish publishes the list and records the runners that left the service.
func (platform *Platform) publish() {
	now := time.Now()
	left, inService, err := platform.runners.publish(now)
	if err != nil {
		// The previous list stays published.
		return
	}
	recordDrains(platform.history, now, left, inService)
}

// probe probes the readiness of all daemons and waits for the results.
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
