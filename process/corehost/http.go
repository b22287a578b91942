package corehost

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/connection/wire"
	"wardtray/epoch/spec"
	"wardtray/process/core"
	"wardtray/process/fault"
)

const requestBound = 10 * time.Second

// serve opens the operators' side.
func (host *Host) serve() (*fasthttp.Server, error) {
	routes := router.New()
	routes.GET("/v1/spec", host.order("get"))
	routes.PUT("/v1/spec", host.order("apply"))
	routes.POST("/v1/zones/{zone}/close", host.order("close"))
	routes.POST("/v1/zones/{zone}/open", host.order("open"))
	routes.GET("/v1/operations/{operation}", host.order("operation"))
	host.mountRunners(routes)
	if host.Mount != nil {
		host.Mount(routes, host)
	}
	routes.GET("/v1/status", host.status)
	routes.GET("/fitness", func(context *fasthttp.RequestCtx) { context.SetBodyString("fit\n") })
	routes.NotFound = func(context *fasthttp.RequestCtx) {
		Answer(context, 404, core.Reply{Outcome: "refused", Kind: string(fault.NotFound), Detail: string(context.Path())})
	}
	server := &fasthttp.Server{Handler: routes.Handler, Name: "wtcore", ReadTimeout: requestBound, WriteTimeout: requestBound,
		IdleTimeout: time.Minute, MaxRequestBodySize: spec.MaximumBytes + 1024, ReadBufferSize: 16 << 10, Concurrency: 1024,
		CloseOnShutdown: true, NoDefaultDate: true}
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

// Answer writes a reply with its remedy.
func Answer(context *fasthttp.RequestCtx, status int, reply core.Reply) {
	if reply.Kind != "" && reply.Remedy == "" {
		reply.Remedy = (&fault.Fault{Kind: fault.Kind(reply.Kind)}).Remedy()
	}
	content, failure := json.Marshal(reply)
	if failure != nil {
		content = []byte(`{"outcome":"refused","kind":"internal"}`)
	}
	context.SetContentType("application/json")
	context.SetStatusCode(status)
	context.SetBody(content)
}

// order turns a request into a question to the chain and waits for the answer.
func (host *Host) order(verb string) fasthttp.RequestHandler {
	return func(context *fasthttp.RequestCtx) {
		ask := &wire.OperatorAsk{Verb: verb, Operation: string(context.QueryArgs().Peek("operation"))}
		if named, found := context.UserValue("operation").(string); found {
			ask.Operation = named
		}
		if zone, found := context.UserValue("zone").(string); found {
			ask.Zone = zone
		}
		if len(ask.Operation) > 128 {
			Answer(context, 400, core.Reply{Outcome: "refused", Kind: string(fault.Malformed), Detail: "operation: at most 128 bytes"})
			return
		}
		if base := context.QueryArgs().Peek("base"); len(base) > 0 {
			number, failure := strconv.ParseUint(string(base), 10, 64)
			if failure != nil {
				Answer(context, 400, core.Reply{Outcome: "refused", Kind: string(fault.Malformed), Detail: "base: not a whole number"})
				return
			}
			ask.Base, ask.HasBase = number, true
		}
		if verb == "apply" {
			if !ask.HasBase {
				Answer(context, 400, core.Reply{Outcome: "refused", Kind: string(fault.Malformed), Detail: "base: a spec must name the epoch it was built on (0 for the first)"})
				return
			}
			ask.Spec = append([]byte{}, context.PostBody()...)
		}
		// Why: without an id of its own an operation could neither be asked for nor told from a repeat.
		if ask.Operation == "" && verb != "get" {
			ask.Operation = identity()
		}
		type answer struct {
			status int
			body   []byte
		}
		answers := make(chan answer, 1)
		host.step(func(now time.Time) {
			host.node.Ask(now, ask, func(status int, body []byte) { answers <- answer{status, body} })
		})
		got := <-answers
		context.SetContentType("application/json")
		context.SetStatusCode(got.status)
		if got.status == 503 {
			context.Response.Header.Set("Retry-After", "1")
		}
		context.SetBody(got.body)
	}
}

// Status is what /v1/status tells.
type Status struct {
	Program  string         `json:"program"`
	Address  string         `json:"address"`
	Zone     string         `json:"zone"`
	Uptime   string         `json:"uptime"`
	Core     core.Status    `json:"core"`
	Counters core.Counters  `json:"counters"`
	Wire     map[string]any `json:"wire"`
}

func (host *Host) status(context *fasthttp.RequestCtx) {
	host.mutex.Lock()
	now := time.Now()
	status := Status{Program: "wtcore", Address: host.startup.Address, Zone: host.startup.Zone,
		Uptime: now.Sub(host.begun).Round(time.Millisecond).String(), Core: host.node.Status(now), Counters: host.node.Counters()}
	host.mutex.Unlock()
	status.Wire = WireCounters(host.transport)
	content, failure := json.Marshal(status)
	if failure != nil {
		Answer(context, 500, core.Reply{Outcome: "refused", Kind: string(fault.Internal), Detail: failure.Error()})
		return
	}
	context.SetContentType("application/json")
	context.SetBody(content)
}
