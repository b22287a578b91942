// Package datahost runs the data plane of one machine as a process: the controller under its lock, the
// schedulers, the runners' book and index, and the HTTP side towards clients.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config/process"
	"wardtray/coordination/lease"
	"wardtray/coordination/quota"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
	"wardtray/metrics"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/randomseed"
	"wardtray/transport"
	"wardtray/transport/netio"
	"wardtray/wire"
)

const (
	pollBound   = time.Second
	finishBound = 2 * time.Minute
	leastFinish = 200 * time.Millisecond
	// streamBound ends streams whose client has stopped reading.
	streamBound = 10 * time.Minute
	maximumList = 4 << 20
	headerBound = 128 << 10
	readBound   = 10 * time.Second
	// The bounds of what a client may send on a platform, where the spec has limits of its own.
	adaptedHeaderBound = 32 << 10
	maximumAdaptedBody = 16 << 20
)

// Adapter puts the data plane onto a platform that fixes how clients, runners and the machines' acceptors speak.
type Adapter struct {
	Codec codec.Codec
	// Readiness is the path at which fitness is asked for, over the startup's own address for it.
	Readiness string
}

// Daemon is the process.
type Daemon struct {
	*dataplane.Plane
	settings  *process.Settings
	adapter   *Adapter
	log       *slog.Logger
	transport *transport.Transport
	platform  *fasthttp.Client
	// front takes clients' connections until a planned stop closes it.
	front net.Listener
}

// New makes the process with the product's own speech; nothing listens yet.
func New(settings *process.Settings, log *slog.Logger) (*Daemon, error) {
	return NewAdapted(settings, nil, log)
}

// NewAdapted makes the process on a platform; with a nil adapter everything is the product's own.
func NewAdapted(settings *process.Settings, adapter *Adapter, log *slog.Logger) (*Daemon, error) {
	host := &Daemon{settings: settings, adapter: adapter, log: log,
		platform: &fasthttp.Client{ReadTimeout: pollBound, WriteTimeout: pollBound, MaxResponseBodySize: maximumList, MaxConnsPerHost: 4}}
	var local net.Addr
	if place, _, err := net.SplitHostPort(settings.Address); err == nil {
		local = &net.TCPAddr{IP: net.ParseIP(place)}
	}
	var spoken codec.Codec
	if adapter != nil {
		spoken = adapter.Codec
	}
	made, err := dataplane.New(netio.Real(local), dataplane.Settings{Codec: spoken, Retries: retries(settings), Without: settings.WithoutMechanisms(), Settings: controller.Settings{Address: settings.Address, HTTP: settings.HTTP, Zone: settings.Zone, Seeds: settings.Seeds, Staleness: lease.DaemonTermFor(settings.ApplyTime()),
		WithoutCore: settings.WithoutCoreTime(), Registered: settings.Registered},
		Workers: kvblock.DefaultWorkers, Random: rand.New(rand.NewSource(randomseed.New())), Await: scheduler.Await,
		Send: func(parcels []statemachine.Message) { host.transport.Send(parcels) }, Poll: func() { go host.poll() }, Log: log})
	if err != nil {
		return nil, err
	}
	host.Plane = made
	host.transport = transport.New(settings.Address, settings.Zone, func(envelope *wire.Envelope) {
		host.Step(func(now time.Time, machine *controller.Controller) { machine.Receive(now, envelope) })
	}, func(address string, tried time.Time) {
		host.Step(func(now time.Time, machine *controller.Controller) { machine.Refused(now, address, tried) })
	})
	return host, nil
}

// retries gives the bound on what is sent again, as far as the settings name one.
func retries(settings *process.Settings) retrybudget.Settings {
	if settings.Retries.Share == 0 && settings.Retries.Slack == 0 {
		return retrybudget.Settings{}
	}
	return retrybudget.Settings{Window: settings.RetriesWindow(), Ratio: settings.Retries.Share, Slack: float64(settings.Retries.Slack)}
}

// poll reads the platform's list.
func (host *Daemon) poll() {
	status, content, err := host.platform.GetTimeout(nil, host.settings.Platform, pollBound)
	host.Listed(content, err == nil && status == 200)
}

// Run serves until the context ends, then drains.
func (host *Daemon) Run(running context.Context) error {
	if err := host.transport.Listen(); err != nil {
		return err
	}
	defer host.transport.Close()
	server, err := host.serve()
	if err != nil {
		return err
	}
	host.log.Info("started")
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	host.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
	host.every(stopped, dataplane.TickEvery, func() {
		host.Step(func(now time.Time, machine *controller.Controller) { machine.Tick(now) })
	})
	host.every(stopped, dataplane.SettleEvery, host.Settle)
	host.every(stopped, dataplane.PressureEvery, host.AskPressures)
	host.every(stopped, dataplane.AgeEvery, host.Age)
	host.every(stopped, dataplane.WatchEvery, host.Watch)
	<-running.Done()
	return host.drain(server)
}

func (host *Daemon) every(stopped context.Context, length time.Duration, do func()) {
	go func() {
		ticker := time.NewTicker(length)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				do()
			case <-stopped.Done():
				return
			}
		}
	}()
}

// drain fails fitness first, goes on taking requests until the platform has had time to see that,
// finishes everything read, and only then closes.
func (host *Daemon) drain(server *fasthttp.Server) error {
	length := host.settings.DrainTime()
	host.log.Info("draining", "for", length.String())
	started := time.Now()
	finish := host.settings.FinishTime(finishBound)
	by := started.Add(length + finish)
	host.Handler.StopBy.Store(&by)
	host.Drain()
	ticker := time.NewTicker(dataplane.SettleEvery)
	defer ticker.Stop()
	for !host.Drained(length) && time.Since(started) < length+finish {
		<-ticker.C
		// What comes later might have to be cut, and another daemon can still serve it.
		if time.Since(started) >= length {
			host.closeFront()
		}
	}
	finishing, stop := context.WithTimeout(context.Background(), max(leastFinish, length+finish-time.Since(started)))
	defer stop()
	err := server.ShutdownWithContext(finishing)
	host.log.Info("stopped", "left_unfinished", host.Handler.InFlight.Load())
	// What is left when the time given is over was told above; it is the order to stop that ends it, not a defect.
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return apierror.Wrap(err, apierror.Internal, "closing the HTTP side")
}

// closeFront ends the taking of requests for good, once the platform has had its time to send clients elsewhere. Where
// most daemons of a zone stop at once it sends clients to all of them again; what was taken so late could be left
// unfinished when the time given is over. New connections find nobody, which their clients may repeat, and what comes
// on open ones is refused as not run.
func (host *Daemon) closeFront() {
	if host.Handler.Stopping.Swap(true) {
		return
	}
	if err := host.front.Close(); err != nil {
		host.log.Error("closing the clients' side", "cause", err.Error())
	}
}

// handler gives who answers clients: the product's own paths, or on a platform every path.
func (host *Daemon) handler() fasthttp.RequestHandler {
	serve := func(context *fasthttp.RequestCtx) {
		if ambiguous(context.Request.Header.RawHeaders()) {
			host.malformed(context, errAmbiguous)
			return
		}
		host.Handler.Serve(netio.FromHTTP(context))
	}
	if host.adapter != nil {
		return serve
	}
	routes := router.New()
	routes.POST("/v1/stream", serve)
	routes.POST("/v1/explain", func(context *fasthttp.RequestCtx) { host.Handler.Explain(netio.FromHTTP(context)) })
	routes.GET("/fitness", host.readiness)
	routes.GET("/v1/status", host.status)
	routes.NotFound = func(context *fasthttp.RequestCtx) { host.refuse(context, apierror.NotFound, string(context.Path())) }
	return routes.Handler
}

// serve opens the clients' side, and where it has an address of its own the side for who asks for fitness.
func (host *Daemon) serve() (*fasthttp.Server, error) {
	server := &fasthttp.Server{Handler: host.handler(), Name: "wtdata", ReadTimeout: readBound, WriteTimeout: streamBound, IdleTimeout: time.Minute,
		MaxRequestBodySize: admission.MaximumBody, ReadBufferSize: headerBound, Concurrency: 16384, CloseOnShutdown: true,
		ErrorHandler: host.malformed}
	if host.adapter != nil {
		// The name and the date are the runner's to give, and a buffer for the longest header a connection would take too much memory.
		server.Name = ""
		server.NoDefaultServerHeader, server.NoDefaultDate, server.NoDefaultContentType = true, true, true
		server.ReadBufferSize, server.MaxRequestBodySize = adaptedHeaderBound, maximumAdaptedBody
		server.DisablePreParseMultipartForm = true
	}
	front, err := host.listen(server, host.settings.HTTP)
	if err != nil {
		return nil, err
	}
	host.front = front
	if host.settings.Readiness == "" {
		return server, nil
	}
	routes := router.New()
	path := "/fitness"
	if host.adapter != nil {
		path = host.adapter.Readiness
	}
	routes.GET(path, host.readiness)
	routes.GET("/v1/status", host.status)
	_, err = host.listen(&fasthttp.Server{Handler: routes.Handler, Name: "wtdata", ReadTimeout: readBound, WriteTimeout: readBound, IdleTimeout: time.Minute}, host.settings.Readiness)
	return server, err
}

// listen serves an address and gives its listener.
func (host *Daemon) listen(server *fasthttp.Server, address string) (net.Listener, error) {
	listener, err := transport.ListenTCP(address)
	if err != nil {
		return nil, err
	}
	once := &closedOnce{Listener: listener}
	go func() {
		if err := server.Serve(once); err != nil && !errors.Is(err, net.ErrClosed) {
			host.log.Error("the HTTP side ended", "address", address, "cause", err.Error())
		}
	}()
	return once, nil
}

// refuse gives a refusal to what never became a request.
func (host *Daemon) refuse(context *fasthttp.RequestCtx, kind apierror.Code, detail string) {
	host.Handler.Codec.Refuse(netio.FromHTTP(context), nil, codec.Refusal{Kind: kind, Detail: detail, Ran: scheduler.DidNotRun, DidNotRun: true})
}

// malformed answers what could not be read as a request at all.
func (host *Daemon) malformed(context *fasthttp.RequestCtx, err error) {
	kind := apierror.Malformed
	if err == fasthttp.ErrBodyTooLarge {
		kind = apierror.TooLarge
	}
	if _, tooSmall := err.(*fasthttp.ErrSmallBuffer); tooSmall {
		kind = apierror.TooLarge
	}
	host.refuse(context, kind, err.Error())
	context.SetConnectionClose()
}

// readiness tells the platform whether to send clients here.
func (host *Daemon) readiness(context *fasthttp.RequestCtx) {
	if host.Handler.Draining.Load() {
		context.Error("draining\n", 503)
		return
	}
	if !host.Fit() {
		context.Error("no present spec, or no runner known\n", 503)
		return
	}
	context.SetBodyString("fit\n")
}

// Status is what /v1/status tells.
type Status struct {
	Program     string                          `json:"program"`
	Address     string                          `json:"address"`
	Zone        string                          `json:"zone"`
	Uptime      string                          `json:"uptime"`
	Epoch       uint64                          `json:"epoch"`
	Sequence    uint64                          `json:"sequence"`
	Serving     bool                            `json:"serving"`
	Draining    bool                            `json:"draining"`
	InFlight    int64                           `json:"in_flight"`
	View        uint64                          `json:"view"`
	PartialView []string                        `json:"cohort"`
	Runners     []load.Runner                   `json:"runners"`
	Routes      map[string]metrics.RouteMetrics `json:"lanes"`
	// Tenants are what was used of the quotas here, by the tenants' names.
	Tenants    map[string]quota.Usage `json:"tenants,omitempty"`
	Schedulers map[string]any         `json:"desks"`
	Index      map[string]uint64      `json:"index"`
	Links      map[string]uint64      `json:"links"`
	Controller controller.Counters    `json:"director"`
	Wire       map[string]any         `json:"wire"`
	Directory  int                    `json:"directory"`
}

func (host *Daemon) status(context *fasthttp.RequestCtx) {
	now, snapshot := time.Now(), host.Snapshot()
	var partialView []string
	var view uint64
	var counters controller.Counters
	host.Look(func(machine *controller.Controller) {
		for _, line := range machine.PartialView() {
			partialView = append(partialView, line.Address)
		}
		view, counters = machine.View().GetEpoch(), machine.Counters()
	})
	backend, links := host.Handler.Indexer.Pool, &host.Handler.Connections.Counters
	status := Status{Program: "wtdata", Address: host.settings.Address, Zone: host.settings.Zone,
		Uptime: now.Sub(host.Started()).Round(time.Millisecond).String(), Epoch: snapshot.SpecEpoch, Sequence: snapshot.Sequence,
		Serving: now.Before(snapshot.Until), Draining: host.Handler.Draining.Load(), InFlight: host.Handler.InFlight.Load(), View: view,
		PartialView: partialView, Runners: host.Handler.Loads.All(now, host.Daemons()), Routes: host.Handler.Metrics.Routes(), Tenants: host.Handler.Quota.Usage(now), Schedulers: map[string]any{},
		Index: map[string]uint64{"keys": uint64(host.Handler.Indexer.Index.Keys()), "events": backend.Applied.Load(),
			"dropped": backend.Dropped.Load(), "inferred_removals": backend.Inferred.Load()},
		Links: map[string]uint64{"dials": links.Dials.Load(), "reused": links.Reused.Load(),
			"wrong_identity": links.WrongIdentity.Load(), "unreachable": links.Unreachable.Load(), "lost": links.Lost.Load()},
		Controller: counters, Wire: transport.CounterValues(host.transport), Directory: len(host.Daemons())}
	host.Schedulers(func(backend string, desk *scheduler.Scheduler) {
		counters, waiting, routes := desk.State()
		status.Schedulers[backend] = map[string]any{"counters": counters, "waiting": waiting, "lanes": routes, "prices": desk.CostWeights()}
	})
	content, err := json.Marshal(status)
	if err != nil {
		host.refuse(context, apierror.Internal, err.Error())
		return
	}
	context.SetContentType("application/json")
	context.SetBody(content)
}
