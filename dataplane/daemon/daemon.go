// Package daemon runs a data plane as a process: the periodic work, the messages of other processes, the HTTP endpoints
// for clients and operators, and draining.
package daemon

import (
	"context"
	"log/slog"
	"math/rand"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config/process"
	"wardtray/coordination/lease"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
	"wardtray/proxy/codec"
	"wardtray/randomseed"
	"wardtray/transport"
	"wardtray/transport/netio"
	"wardtray/wire"
)

const (
	// pollTimeout is the timeout of a poll of the platform's list of runners.
	pollTimeout = time.Second
	// maximumListSize is the maximum size of the list of runners, in bytes.
	maximumListSize = 4 << 20
	// maximumPollConnections is the maximum number of connections to the platform.
	maximumPollConnections = 4
)

// Adapter adapts the data plane to a platform that defines the protocols of clients, runners and readiness probes.
type Adapter struct {
	// Codec is the protocol of clients and runners.
	Codec codec.Codec
	// Readiness is the path of the readiness endpoint at the address in the setting Readiness.
	Readiness string
}

// Daemon is the process of a data daemon.
type Daemon struct {
	*dataplane.Plane
	settings *process.Settings
	// adapter is nil if the native protocols are used.
	adapter        *Adapter
	log            *slog.Logger
	transport      *transport.Transport
	platformClient *fasthttp.Client
	// clientListener is the listener for clients; draining closes it.
	clientListener net.Listener
}

// New returns a daemon with the native protocols. It does not listen yet.
func New(settings *process.Settings, log *slog.Logger) (*Daemon, error) {
	return NewAdapted(settings, nil, log)
}

// NewAdapted returns a daemon that is adapted to a platform; a nil adapter means the native protocols. It does not
// listen yet.
func NewAdapted(settings *process.Settings, adapter *Adapter, log *slog.Logger) (*Daemon, error) {
	daemon := &Daemon{
		settings: settings,
		adapter:  adapter,
		log:      log,
		platformClient: &fasthttp.Client{
			ReadTimeout:         pollTimeout,
			WriteTimeout:        pollTimeout,
			MaxResponseBodySize: maximumListSize,
			MaxConnsPerHost:     maximumPollConnections,
		},
	}
	plane, err := dataplane.New(netio.Real(localAddress(settings.Address)), daemon.planeSettings())
	if err != nil {
		return nil, err
	}
	daemon.Plane = plane
	daemon.transport = transport.New(settings.Address, settings.Zone, daemon.receive, daemon.onConnectionRefused)
	return daemon, nil
}

// localAddress returns the local address to which connections to runners are bound, or nil if the setting holds none.
func localAddress(address string) net.Addr {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}

// planeSettings returns the settings of the data plane.
func (daemon *Daemon) planeSettings() dataplane.Settings {
	settings := daemon.settings
	var adaptedCodec codec.Codec
	if daemon.adapter != nil {
		adaptedCodec = daemon.adapter.Codec
	}
	return dataplane.Settings{
		Settings: controller.Settings{
			Address:        settings.Address,
			HTTP:           settings.HTTP,
			Zone:           settings.Zone,
			Seeds:          settings.Seeds,
			LeaseDuration:  lease.DaemonTTLFor(settings.ApplyTime()),
			IsolationLimit: settings.WithoutCoreTime(),
			Registered:     settings.Registered,
		},
		Codec:    adaptedCodec,
		Retries:  retrySettings(settings),
		Disabled: settings.DisabledFeatures(),
		Workers:  kvblock.DefaultWorkers,
		Random:   rand.New(rand.NewSource(randomseed.New())),
		Await:    scheduler.Await,
		Send:     func(messages []statemachine.Message) { daemon.transport.Send(messages) },
		Poll:     func() { go daemon.poll() },
		Log:      daemon.log,
	}
}

// retrySettings returns the limits of retries in the settings, or the zero value if the settings have none.
func retrySettings(settings *process.Settings) retrybudget.Settings {
	if settings.Retries.Share == 0 && settings.Retries.Slack == 0 {
		return retrybudget.Settings{}
	}
	return retrybudget.Settings{
		Window: settings.RetriesWindow(),
		Ratio:  settings.Retries.Share,
		Slack:  float64(settings.Retries.Slack),
	}
}

// receive passes a message of another process to the controller.
func (daemon *Daemon) receive(envelope *wire.Envelope) {
	daemon.Step(func(now time.Time, machine *controller.Controller) { machine.Receive(now, envelope) })
}

// onConnectionRefused notifies the controller of a refused connection to another process.
func (daemon *Daemon) onConnectionRefused(address string, tried time.Time) {
	daemon.Step(func(now time.Time, machine *controller.Controller) { machine.OnConnectionRefused(now, address, tried) })
}

// tick lets the controller perform the periodic work that is due.
func (daemon *Daemon) tick() {
	daemon.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
}

// poll reads the platform's list of runners and passes the result to the plane.
func (daemon *Daemon) poll() {
	status, content, err := daemon.platformClient.GetTimeout(nil, daemon.settings.Platform, pollTimeout)
	daemon.OnPolled(content, err == nil && status == fasthttp.StatusOK)
}

// Run serves until the context is done, then drains: it returns once the requests in flight are finished or the time
// for that is over.
func (daemon *Daemon) Run(ctx context.Context) error {
	if err := daemon.transport.Listen(); err != nil {
		return err
	}
	defer daemon.transport.Close()
	server, err := daemon.serve(ctx)
	if err != nil {
		return err
	}
	daemon.log.Info("started")
	// The periodic work continues while the daemon drains.
	periodic, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	daemon.tick()
	go runPeriodically(periodic, dataplane.TickInterval, daemon.tick)
	go runPeriodically(periodic, dataplane.RebalanceInterval, daemon.Rebalance)
	go runPeriodically(periodic, dataplane.ProbeInterval, daemon.ProbeStale)
	go runPeriodically(periodic, dataplane.IndexAgingInterval, daemon.AgeIndex)
	go runPeriodically(periodic, dataplane.UnresponsiveProbeInterval, daemon.ProbeUnresponsive)
	<-ctx.Done()
	return daemon.drain(context.WithoutCancel(ctx), server)
}

// runPeriodically calls a function at an interval until the context is done.
func runPeriodically(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}
