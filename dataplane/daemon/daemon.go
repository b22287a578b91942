// Package daemon runs a data plane as a process: the periodic work, the messages of other processes, the HTTP endpoints
// for clients and operators, and the planned stop.
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
	// pollTimeout is how long the platform has to return its list of runners.
	pollTimeout = time.Second
	// maximumListSize is the largest list of runners, in bytes, and maximumPollConnections how many connections read it.
	maximumListSize        = 4 << 20
	maximumPollConnections = 4
)

// Adapter adapts the data plane to a platform that defines the protocols of clients, runners and readiness probes.
type Adapter struct {
	// Codec is the protocol of clients and runners.
	Codec codec.Codec
	// Readiness is the path of the readiness endpoint, at the address that the settings name for it.
	Readiness string
}

// Daemon is the process.
type Daemon struct {
	*dataplane.Plane
	settings *process.Settings
	// adapter is nil if the protocols are the product's own.
	adapter   *Adapter
	log       *slog.Logger
	transport *transport.Transport
	platform  *fasthttp.Client
	// front is the listener for clients; a planned stop closes it.
	front net.Listener
}

// New returns a process with the product's own protocols. Nothing listens yet.
func New(settings *process.Settings, log *slog.Logger) (*Daemon, error) {
	return NewAdapted(settings, nil, log)
}

// NewAdapted returns a process that is adapted to a platform; with a nil adapter the protocols are the product's own.
func NewAdapted(settings *process.Settings, adapter *Adapter, log *slog.Logger) (*Daemon, error) {
	daemon := &Daemon{
		settings: settings,
		adapter:  adapter,
		log:      log,
		platform: &fasthttp.Client{
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
	daemon.transport = transport.New(settings.Address, settings.Zone, daemon.receive, daemon.refused)
	return daemon, nil
}

// localAddress returns the address that connections to runners are bound to; nil if the process has none.
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
	var adapted codec.Codec
	if daemon.adapter != nil {
		adapted = daemon.adapter.Codec
	}
	return dataplane.Settings{
		Settings: controller.Settings{
			Address:       settings.Address,
			HTTP:          settings.HTTP,
			Zone:          settings.Zone,
			Seeds:         settings.Seeds,
			LeaseDuration: lease.DaemonTTLFor(settings.ApplyTime()),
			WithoutCore:   settings.WithoutCoreTime(),
			Registered:    settings.Registered,
		},
		Codec:   adapted,
		Retries: retrySettings(settings),
		Without: settings.DisabledFeatures(),
		Workers: kvblock.DefaultWorkers,
		Random:  rand.New(rand.NewSource(randomseed.New())),
		Await:   scheduler.Await,
		Send:    func(messages []statemachine.Message) { daemon.transport.Send(messages) },
		Poll:    func() { go daemon.poll() },
		Log:     daemon.log,
	}
}

// retrySettings returns the limits of retries that the settings name; the zero value if they name none.
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

// refused notifies the controller of a refused connection to another process.
func (daemon *Daemon) refused(address string, tried time.Time) {
	daemon.Step(func(now time.Time, machine *controller.Controller) { machine.OnRefused(now, address, tried) })
}

// tick lets the controller do what is due.
func (daemon *Daemon) tick() {
	daemon.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
}

// poll reads the platform's list of runners.
func (daemon *Daemon) poll() {
	status, content, err := daemon.platform.GetTimeout(nil, daemon.settings.Platform, pollTimeout)
	daemon.OnPolled(content, err == nil && status == fasthttp.StatusOK)
}

// Run serves until the context ends, then stops as planned: it returns once the requests in flight are finished or the
// time for that is over.
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
	// The periodic work continues during the planned stop.
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	daemon.tick()
	go every(working, dataplane.TickInterval, daemon.tick)
	go every(working, dataplane.RebalanceInterval, daemon.Rebalance)
	go every(working, dataplane.ProbeInterval, daemon.ProbeStale)
	go every(working, dataplane.IndexAgingInterval, daemon.AgeIndex)
	go every(working, dataplane.UnresponsiveProbeInterval, daemon.ProbeUnresponsive)
	<-ctx.Done()
	return daemon.drain(context.WithoutCancel(ctx), server)
}

// every calls a function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, do func()) {
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
