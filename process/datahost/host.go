// Package datahost runs the data plane of one machine as a process: the director under its lock, the
// desks, the runners' book and index, and the HTTP side towards requesters.
package datahost

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/connection/seam"
	"wardtray/connection/transport"
	"wardtray/connection/wire"
	"wardtray/process/corehost"
	"wardtray/process/director"
	"wardtray/process/fault"
	"wardtray/process/kvblock"
	"wardtray/process/machine"
	"wardtray/process/plane"
	"wardtray/process/pressure"
	"wardtray/process/startup"
	"wardtray/process/tally"
	"wardtray/request/award"
	"wardtray/request/course"
	"wardtray/request/intake"
)

const (
	pollBound   = time.Second
	finishBound = 2 * time.Minute
	// streamBound ends streams whose requester has stopped reading.
	streamBound = 10 * time.Minute
	maximumList = 4 << 20
	headerBound = 128 << 10
)

// Host is the process.
type Host struct {
	*plane.Plane
	startup   *startup.Startup
	log       *slog.Logger
	transport *transport.Transport
	platform  *fasthttp.Client
}

// New makes the process; nothing listens yet.
func New(startup *startup.Startup, log *slog.Logger) (*Host, error) {
	host := &Host{startup: startup, log: log,
		platform: &fasthttp.Client{ReadTimeout: pollBound, WriteTimeout: pollBound, MaxResponseBodySize: maximumList, MaxConnsPerHost: 4}}
	var local net.Addr
	if place, _, failure := net.SplitHostPort(startup.Address); failure == nil {
		local = &net.TCPAddr{IP: net.ParseIP(place)}
	}
	made, failure := plane.New(seam.Real(local), plane.Startup{Startup: director.Startup{Address: startup.Address, HTTP: startup.HTTP, Zone: startup.Zone, Seeds: startup.Seeds},
		Workers: kvblock.DefaultWorkers, Random: rand.New(rand.NewSource(corehost.Seed())), Await: func(steps <-chan award.Step) award.Step { return <-steps },
		Send: func(parcels []machine.Parcel) { host.transport.Send(parcels) }, Poll: func() { go host.poll() }, Log: log})
	if failure != nil {
		return nil, failure
	}
	host.Plane = made
	host.transport = transport.New(startup.Address, startup.Zone, func(envelope *wire.Envelope) {
		host.Step(func(now time.Time, director *director.Director) { director.Receive(now, envelope) })
	})
	return host, nil
}

// poll reads the platform's list.
func (host *Host) poll() {
	status, content, failure := host.platform.GetTimeout(nil, host.startup.Platform, pollBound)
	host.Listed(content, failure == nil && status == 200)
}

// Run serves until the context ends, then drains.
func (host *Host) Run(running context.Context) error {
	if failure := host.transport.Listen(); failure != nil {
		return failure
	}
	defer host.transport.Close()
	server, failure := host.serve()
	if failure != nil {
		return failure
	}
	host.log.Info("started")
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	host.every(stopped, plane.TickEvery, func() {
		host.Step(func(now time.Time, director *director.Director) { director.Tick(now) })
	})
	host.every(stopped, plane.SettleEvery, host.Settle)
	host.every(stopped, plane.PressureEvery, host.AskPressures)
	host.every(stopped, plane.AgeEvery, host.Age)
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
	host.Drain()
	ticker := time.NewTicker(plane.SettleEvery)
	defer ticker.Stop()
	begun := time.Now()
	for !host.Drained(length) && time.Since(begun) < length+finishBound {
		<-ticker.C
	}
	finishing, stop := context.WithTimeout(context.Background(), finishBound)
	defer stop()
	failure := server.ShutdownWithContext(finishing)
	host.log.Info("stopped", "left_unfinished", host.Yard.InFlight.Load())
	return fault.Wrap(failure, fault.Internal, "closing the HTTP side")
}

// serve opens the requesters' side.
func (host *Host) serve() (*fasthttp.Server, error) {
	routes := router.New()
	routes.POST("/v1/stream", func(context *fasthttp.RequestCtx) { host.Yard.Serve(seam.FromHTTP(context)) })
	routes.POST("/v1/explain", func(context *fasthttp.RequestCtx) { host.Yard.Explain(seam.FromHTTP(context)) })
	routes.GET("/fitness", host.fitness)
	routes.GET("/v1/status", host.status)
	routes.NotFound = func(context *fasthttp.RequestCtx) {
		course.Refuse(seam.FromHTTP(context), fault.NotFound, string(context.Path()), award.DidNotRun, 0)
	}
	server := &fasthttp.Server{Handler: routes.Handler, Name: "wtdata", ReadTimeout: 10 * time.Second, WriteTimeout: streamBound, IdleTimeout: time.Minute,
		MaxRequestBodySize: intake.MaximumBody, ReadBufferSize: headerBound, Concurrency: 16384, CloseOnShutdown: true,
		ErrorHandler: malformed}
	listener, failure := net.Listen("tcp", host.startup.HTTP)
	if failure != nil {
		return nil, fault.Wrap(failure, fault.BadStartup, "listening on %s", host.startup.HTTP)
	}
	go func() {
		if failure := server.Serve(listener); failure != nil {
			host.log.Error("the HTTP side ended", "cause", failure.Error())
		}
	}()
	return server, nil
}

// malformed answers what could not be read as a request at all.
func malformed(context *fasthttp.RequestCtx, failure error) {
	kind := fault.Malformed
	if failure == fasthttp.ErrBodyTooLarge {
		kind = fault.TooLarge
	}
	if _, tooSmall := failure.(*fasthttp.ErrSmallBuffer); tooSmall {
		kind = fault.TooLarge
	}
	course.Refuse(seam.FromHTTP(context), kind, failure.Error(), award.DidNotRun, 0)
	context.SetConnectionClose()
}

// fitness tells the platform whether to send requesters here.
func (host *Host) fitness(context *fasthttp.RequestCtx) {
	if host.Yard.Draining.Load() {
		context.Error("draining\n", 503)
		return
	}
	if !time.Now().Before(host.Snapshot().Until) {
		context.Error("no present spec\n", 503)
		return
	}
	context.SetBodyString("fit\n")
}

// Status is what /v1/status tells.
type Status struct {
	Program   string                `json:"program"`
	Address   string                `json:"address"`
	Zone      string                `json:"zone"`
	Uptime    string                `json:"uptime"`
	Epoch     uint64                `json:"epoch"`
	Sequence  uint64                `json:"sequence"`
	Serving   bool                  `json:"serving"`
	Draining  bool                  `json:"draining"`
	InFlight  int64                 `json:"in_flight"`
	View      uint64                `json:"view"`
	Cohort    []string              `json:"cohort"`
	Runners   []pressure.Runner     `json:"runners"`
	Lanes     map[string]tally.Lane `json:"lanes"`
	Desks     map[string]any        `json:"desks"`
	Index     map[string]uint64     `json:"index"`
	Links     map[string]uint64     `json:"links"`
	Director  director.Counters     `json:"director"`
	Wire      map[string]any        `json:"wire"`
	Directory int                   `json:"directory"`
}

func (host *Host) status(context *fasthttp.RequestCtx) {
	now, snapshot := time.Now(), host.Snapshot()
	var cohort []string
	var view uint64
	var counters director.Counters
	host.Look(func(director *director.Director) {
		for _, line := range director.Cohort() {
			cohort = append(cohort, line.Address)
		}
		view, counters = director.View().GetEpoch(), director.Counters()
	})
	pool, links := host.Yard.Indexer.Pool, &host.Yard.Links.Counters
	status := Status{Program: "wtdata", Address: host.startup.Address, Zone: host.startup.Zone,
		Uptime: now.Sub(host.Begun()).Round(time.Millisecond).String(), Epoch: snapshot.SpecEpoch, Sequence: snapshot.Sequence,
		Serving: now.Before(snapshot.Until), Draining: host.Yard.Draining.Load(), InFlight: host.Yard.InFlight.Load(), View: view,
		Cohort: cohort, Runners: host.Yard.Book.All(now, host.Daemons()), Lanes: host.Yard.Tally.Lanes(), Desks: map[string]any{},
		Index: map[string]uint64{"keys": uint64(host.Yard.Indexer.Index.Keys()), "events": pool.Applied.Load(),
			"dropped": pool.Dropped.Load(), "inferred_removals": pool.Inferred.Load()},
		Links: map[string]uint64{"dials": links.Dials.Load(), "reused": links.Reused.Load(),
			"wrong_identity": links.WrongIdentity.Load(), "unreachable": links.Unreachable.Load(), "lost": links.Lost.Load()},
		Director: counters, Wire: corehost.WireCounters(host.transport), Directory: len(host.Daemons())}
	host.Desks(func(pool string, desk *award.Desk) {
		counters, waiting, lanes := desk.State()
		status.Desks[pool] = map[string]any{"counters": counters, "waiting": waiting, "lanes": lanes, "prices": desk.Prices()}
	})
	content, failure := json.Marshal(status)
	if failure != nil {
		course.Refuse(seam.FromHTTP(context), fault.Internal, failure.Error(), award.DidNotRun, 0)
		return
	}
	context.SetContentType("application/json")
	context.SetBody(content)
}
