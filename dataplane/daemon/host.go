// Package datahost runs the data plane of one machine as a process: the director under its lock, the
// desks, the runners' book and index, and the HTTP side towards requesters.
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
	"wardtray/control/node"
	"wardtray/control/server"
	"wardtray/coordination/quota"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
	"wardtray/metrics"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/transport"
	"wardtray/transport/netio"
	"wardtray/wire"
)

const (
	pollBound   = time.Second
	finishBound = 2 * time.Minute
	leastFinish = 200 * time.Millisecond
	// streamBound ends streams whose requester has stopped reading.
	streamBound = 10 * time.Minute
	maximumList = 4 << 20
	headerBound = 128 << 10
	readBound   = 10 * time.Second
	// The bounds of what a requester may send on a platform, where the spec has limits of its own.
	adaptedHeaderBound = 32 << 10
	maximumAdaptedBody = 16 << 20
)

// Adapter puts the data plane onto a platform that fixes how requesters, runners and the machines' keepers speak.
type Adapter struct {
	Speech codec.Speech
	// Fitness is the path at which fitness is asked for, over the startup's own address for it.
	Fitness string
}

// Host is the process.
type Host struct {
	*dataplane.Plane
	startup   *process.Startup
	adapter   *Adapter
	log       *slog.Logger
	transport *transport.Transport
	platform  *fasthttp.Client
	// front takes clients' connections until a planned stop closes it.
	front net.Listener
}

// New makes the process with the product's own speech; nothing listens yet.
func New(startup *process.Startup, log *slog.Logger) (*Host, error) {
	return NewAdapted(startup, nil, log)
}

// NewAdapted makes the process on a platform; with a nil adapter everything is the product's own.
func NewAdapted(startup *process.Startup, adapter *Adapter, log *slog.Logger) (*Host, error) {
	host := &Host{startup: startup, adapter: adapter, log: log,
		platform: &fasthttp.Client{ReadTimeout: pollBound, WriteTimeout: pollBound, MaxResponseBodySize: maximumList, MaxConnsPerHost: 4}}
	var local net.Addr
	if place, _, err := net.SplitHostPort(startup.Address); err == nil {
		local = &net.TCPAddr{IP: net.ParseIP(place)}
	}
	var spoken codec.Speech
	if adapter != nil {
		spoken = adapter.Speech
	}
	made, err := dataplane.New(netio.Real(local), dataplane.Startup{Speech: spoken, Repeats: repeats(startup), Without: startup.WithoutMechanisms(), Startup: controller.Startup{Address: startup.Address, HTTP: startup.HTTP, Zone: startup.Zone, Seeds: startup.Seeds, Staleness: node.StalenessFor(startup.ApplyTime()),
		WithoutCore: startup.WithoutCoreTime(), Registered: startup.Registered},
		Workers: kvblock.DefaultWorkers, Random: rand.New(rand.NewSource(server.Seed())), Await: scheduler.Await,
		Send: func(parcels []statemachine.Parcel) { host.transport.Send(parcels) }, Poll: func() { go host.poll() }, Log: log})
	if err != nil {
		return nil, err
	}
	host.Plane = made
	host.transport = transport.New(startup.Address, startup.Zone, func(envelope *wire.Envelope) {
		host.Step(func(now time.Time, director *controller.Director) { director.Receive(now, envelope) })
	}, func(address string, tried time.Time) {
		host.Step(func(now time.Time, director *controller.Director) { director.Refused(now, address, tried) })
	})
	return host, nil
}

// repeats gives the bound on what is sent again, as far as the settings name one.
func repeats(startup *process.Startup) retrybudget.Settings {
	if startup.Repeats.Share == 0 && startup.Repeats.Slack == 0 {
		return retrybudget.Settings{}
	}
	return retrybudget.Settings{Window: startup.RepeatsWindow(), Ratio: startup.Repeats.Share, Slack: float64(startup.Repeats.Slack)}
}

// poll reads the platform's list.
func (host *Host) poll() {
	status, content, err := host.platform.GetTimeout(nil, host.startup.Platform, pollBound)
	host.Listed(content, err == nil && status == 200)
}

// Run serves until the context ends, then drains.
func (host *Host) Run(running context.Context) error {
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
	host.Step(func(now time.Time, director *controller.Director) { director.Tick(now) })
	host.every(stopped, dataplane.TickEvery, func() {
		host.Step(func(now time.Time, director *controller.Director) { director.Tick(now) })
	})
	host.every(stopped, dataplane.SettleEvery, host.Settle)
	host.every(stopped, dataplane.PressureEvery, host.AskPressures)
	host.every(stopped, dataplane.AgeEvery, host.Age)
	host.every(stopped, dataplane.WatchEvery, host.Watch)
	<-running.Done()
	return host.drain(server)
}

func (host *Host) every(stopped context.Context, length time.Duration, do func()) {
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
func (host *Host) drain(server *fasthttp.Server) error {
	length := host.startup.DrainTime()
	host.log.Info("draining", "for", length.String())
	begun := time.Now()
	finish := host.startup.FinishTime(finishBound)
	by := begun.Add(length + finish)
	host.Yard.StopBy.Store(&by)
	host.Drain()
	ticker := time.NewTicker(dataplane.SettleEvery)
	defer ticker.Stop()
	for !host.Drained(length) && time.Since(begun) < length+finish {
		<-ticker.C
		// What comes later might have to be cut, and another daemon can still serve it.
		if time.Since(begun) >= length {
			host.closeFront()
		}
	}
	finishing, stop := context.WithTimeout(context.Background(), max(leastFinish, length+finish-time.Since(begun)))
	defer stop()
	err := server.ShutdownWithContext(finishing)
	host.log.Info("stopped", "left_unfinished", host.Yard.InFlight.Load())
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
func (host *Host) closeFront() {
	if host.Yard.Stopping.Swap(true) {
		return
	}
	if err := host.front.Close(); err != nil {
		host.log.Error("closing the clients' side", "cause", err.Error())
	}
}

// handler gives who answers requesters: the product's own paths, or on a platform every path.
func (host *Host) handler() fasthttp.RequestHandler {
	serve := func(context *fasthttp.RequestCtx) {
		if ambiguous(context.Request.Header.RawHeaders()) {
			host.malformed(context, errAmbiguous)
			return
		}
		host.Yard.Serve(netio.FromHTTP(context))
	}
	if host.adapter != nil {
		return serve
	}
	routes := router.New()
	routes.POST("/v1/stream", serve)
	routes.POST("/v1/explain", func(context *fasthttp.RequestCtx) { host.Yard.Explain(netio.FromHTTP(context)) })
	routes.GET("/fitness", host.fitness)
	routes.GET("/v1/status", host.status)
	routes.NotFound = func(context *fasthttp.RequestCtx) { host.refuse(context, apierror.NotFound, string(context.Path())) }
	return routes.Handler
}

// serve opens the requesters' side, and where it has an address of its own the side for who asks for fitness.
func (host *Host) serve() (*fasthttp.Server, error) {
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
	front, err := host.listen(server, host.startup.HTTP)
	if err != nil {
		return nil, err
	}
	host.front = front
	if host.startup.Fitness == "" {
		return server, nil
	}
	routes := router.New()
	path := "/fitness"
	if host.adapter != nil {
		path = host.adapter.Fitness
	}
	routes.GET(path, host.fitness)
	routes.GET("/v1/status", host.status)
	_, err = host.listen(&fasthttp.Server{Handler: routes.Handler, Name: "wtdata", ReadTimeout: readBound, WriteTimeout: readBound, IdleTimeout: time.Minute}, host.startup.Fitness)
	return server, err
}

// listen serves an address and gives its listener.
func (host *Host) listen(server *fasthttp.Server, address string) (net.Listener, error) {
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
func (host *Host) refuse(context *fasthttp.RequestCtx, kind apierror.Kind, detail string) {
	host.Yard.Speech.Refuse(netio.FromHTTP(context), nil, codec.Refusal{Kind: kind, Detail: detail, Ran: scheduler.DidNotRun, DidNotRun: true})
}

// malformed answers what could not be read as a request at all.
func (host *Host) malformed(context *fasthttp.RequestCtx, err error) {
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

// fitness tells the platform whether to send requesters here.
func (host *Host) fitness(context *fasthttp.RequestCtx) {
	if host.Yard.Draining.Load() {
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
	Program  string                  `json:"program"`
	Address  string                  `json:"address"`
	Zone     string                  `json:"zone"`
	Uptime   string                  `json:"uptime"`
	Epoch    uint64                  `json:"epoch"`
	Sequence uint64                  `json:"sequence"`
	Serving  bool                    `json:"serving"`
	Draining bool                    `json:"draining"`
	InFlight int64                   `json:"in_flight"`
	View     uint64                  `json:"view"`
	Cohort   []string                `json:"cohort"`
	Runners  []load.Runner           `json:"runners"`
	Lanes    map[string]metrics.Lane `json:"lanes"`
	// Tenants are what was used of the quotas here, by the tenants' names.
	Tenants   map[string]quota.Usage `json:"tenants,omitempty"`
	Desks     map[string]any         `json:"desks"`
	Index     map[string]uint64      `json:"index"`
	Links     map[string]uint64      `json:"links"`
	Director  controller.Counters    `json:"director"`
	Wire      map[string]any         `json:"wire"`
	Directory int                    `json:"directory"`
}

func (host *Host) status(context *fasthttp.RequestCtx) {
	now, snapshot := time.Now(), host.Snapshot()
	var cohort []string
	var view uint64
	var counters controller.Counters
	host.Look(func(director *controller.Director) {
		for _, line := range director.Cohort() {
			cohort = append(cohort, line.Address)
		}
		view, counters = director.View().GetEpoch(), director.Counters()
	})
	pool, links := host.Yard.Indexer.Pool, &host.Yard.Links.Counters
	status := Status{Program: "wtdata", Address: host.startup.Address, Zone: host.startup.Zone,
		Uptime: now.Sub(host.Begun()).Round(time.Millisecond).String(), Epoch: snapshot.SpecEpoch, Sequence: snapshot.Sequence,
		Serving: now.Before(snapshot.Until), Draining: host.Yard.Draining.Load(), InFlight: host.Yard.InFlight.Load(), View: view,
		Cohort: cohort, Runners: host.Yard.Book.All(now, host.Daemons()), Lanes: host.Yard.Tally.Lanes(), Tenants: host.Yard.Quota.Usage(now), Desks: map[string]any{},
		Index: map[string]uint64{"keys": uint64(host.Yard.Indexer.Index.Keys()), "events": pool.Applied.Load(),
			"dropped": pool.Dropped.Load(), "inferred_removals": pool.Inferred.Load()},
		Links: map[string]uint64{"dials": links.Dials.Load(), "reused": links.Reused.Load(),
			"wrong_identity": links.WrongIdentity.Load(), "unreachable": links.Unreachable.Load(), "lost": links.Lost.Load()},
		Director: counters, Wire: server.WireCounters(host.transport), Directory: len(host.Daemons())}
	host.Desks(func(pool string, desk *scheduler.Desk) {
		counters, waiting, lanes := desk.State()
		status.Desks[pool] = map[string]any{"counters": counters, "waiting": waiting, "lanes": lanes, "prices": desk.Prices()}
	})
	content, err := json.Marshal(status)
	if err != nil {
		host.refuse(context, apierror.Internal, err.Error())
		return
	}
	context.SetContentType("application/json")
	context.SetBody(content)
}
