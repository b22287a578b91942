package server

import (
	"encoding/json"
	"net"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/control/node"
	"wardtray/transport"
	"wardtray/transport/netio"
	"wardtray/wire"
)

const (
	requestBound = 10 * time.Second
	// maximumOperation bounds the id under which an operator sends a change.
	maximumOperation = 128
)

// serve opens the operators' side.
func (host *Server) serve() (*fasthttp.Server, error) {
	routes := router.New()
	routes.GET("/v1/spec", host.order("get"))
	routes.PUT("/v1/spec", host.order("apply"))
	routes.PATCH("/v1/spec", host.order("change"))
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
		Answer(context, 404, node.Reply{Outcome: "refused", Kind: string(apierror.NotFound), Detail: string(context.Path())})
	}
	server := &fasthttp.Server{Handler: routes.Handler, Name: "wtcore", ReadTimeout: requestBound, WriteTimeout: requestBound,
		IdleTimeout: time.Minute, MaxRequestBodySize: config.MaximumBytes + 1024, ReadBufferSize: 16 << 10, Concurrency: 1024,
		CloseOnShutdown: true, NoDefaultDate: true}
	listener, err := net.Listen("tcp", host.settings.HTTP)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "listening on %s", host.settings.HTTP)
	}
	go func() {
		if err := server.Serve(listener); err != nil {
			host.log.Error("the HTTP side ended", "cause", err.Error())
		}
	}()
	return server, nil
}

// Answer writes a reply with its remedy.
func Answer(context *fasthttp.RequestCtx, status int, reply node.Reply) {
	if reply.Kind != "" && reply.Remedy == "" {
		reply.Remedy = (&apierror.Error{Code: apierror.Code(reply.Kind)}).Remedy()
	}
	content, err := json.Marshal(reply)
	if err != nil {
		content = []byte(`{"outcome":"refused","kind":"internal"}`)
	}
	context.SetContentType("application/json")
	context.SetStatusCode(status)
	context.SetBody(content)
}

// answer is what came of a question to the chain.
type answer struct {
	status int
	body   []byte
}

// ask puts a question to the chain; its answer comes within the bound of the control plane, unless it is abandoned.
func (host *Server) ask(message *wire.OperatorRequest) (token string, _ <-chan answer) {
	// Without an id of its own an operation could neither be asked for nor told from a repeat.
	if message.Operation == "" && message.Verb != "get" {
		message.Operation = identity()
	}
	answers := make(chan answer, 1)
	host.step(func(now time.Time) {
		token = host.node.Ask(now, message, func(status int, body []byte) { answers <- answer{status, body} })
	})
	return token, answers
}

// abandon tells the node that nobody waits for an answer any more.
func (host *Server) abandon(token string) {
	host.step(func(time.Time) { host.node.Abandon(token) })
}

// Dropped refuses a call whose caller has left: it was read behind its close, as after a freeze, and a caller that still
// wants something has called again. It tells whether it did.
func Dropped(context *fasthttp.RequestCtx) bool {
	if !netio.Left(context.Conn()) {
		return false
	}
	context.SetConnectionClose()
	Answer(context, 503, node.Reply{Outcome: "refused", Kind: string(apierror.ClientGone), Detail: "the caller has closed its connection"})
	return true
}

// Order puts an operator's question to the chain, whichever machine must answer it, and waits for at most
// the bound. A change goes its way beyond that: its outcome is unknown then, and the same operation id sent
// again, here or elsewhere, finds it.
func (host *Server) Order(message *wire.OperatorRequest, bound time.Duration) (int, node.Reply) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	token, answers := host.ask(message)
	select {
	case got := <-answers:
		reply := node.Reply{}
		if err := json.Unmarshal(got.body, &reply); err != nil {
			return 500, node.Reply{Outcome: "unknown", Operation: message.Operation, Kind: string(apierror.Internal), Detail: err.Error()}
		}
		return got.status, reply
	case <-timer.C:
		host.abandon(token)
		return 504, node.Reply{Outcome: "unknown", Operation: message.Operation, Kind: string(apierror.OutcomeUnknown), Detail: "no answer in time"}
	}
}

// order turns a request into a question to the chain and waits for the answer.
func (host *Server) order(verb string) fasthttp.RequestHandler {
	return func(context *fasthttp.RequestCtx) {
		if Dropped(context) {
			return
		}
		message, err := question(verb, context)
		if err != nil {
			found := apierror.Of(err)
			Answer(context, 400, node.Reply{Outcome: "refused", Kind: string(found.Code), Detail: found.Detail})
			return
		}
		got := host.wait(context, message)
		context.SetContentType("application/json")
		context.SetStatusCode(got.status)
		if got.status == 503 {
			context.Response.Header.Set("Retry-After", "1")
		}
		context.SetBody(got.body)
	}
}

// wait asks a question and waits for its answer, no longer than its operator is there. Who only ended its sending side
// looks like one that left, and is told that the outcome is not known.
func (host *Server) wait(context *fasthttp.RequestCtx, message *wire.OperatorRequest) answer {
	left := make(chan struct{})
	stop := netio.FromHTTP(context).Watch(func() { close(left) })
	defer stop()
	token, answers := host.ask(message)
	select {
	case got := <-answers:
		return got
	case <-left:
		host.abandon(token)
		context.SetConnectionClose()
		return answer{504, node.Reply{Outcome: "unknown", Operation: message.Operation, Kind: string(apierror.OutcomeUnknown), Detail: "the caller has closed its connection"}.Encode()}
	}
}

// question reads what an operator asks.
func question(verb string, context *fasthttp.RequestCtx) (*wire.OperatorRequest, error) {
	message := &wire.OperatorRequest{Verb: verb, Operation: string(context.QueryArgs().Peek("operation"))}
	if named, found := context.UserValue("operation").(string); found {
		message.Operation = named
	}
	if zone, found := context.UserValue("zone").(string); found {
		message.Zone = zone
	}
	// A message, and a record on a disk, can't hold other bytes than UTF-8: one such change could be neither passed on
	// nor synced.
	if len(message.Operation) > maximumOperation || !utf8.ValidString(message.Operation) || !utf8.ValidString(message.Zone) {
		return nil, apierror.New(apierror.Malformed, "operation, zone: at most %d bytes of UTF-8", maximumOperation)
	}
	var err error
	if message.Base, message.HasBase, err = number(context, "base"); err != nil {
		return nil, err
	}
	if verb == "apply" || verb == "change" {
		if message.Epoch, message.HasEpoch, err = number(context, "epoch"); err != nil {
			return nil, err
		}
		if !message.HasBase {
			return nil, apierror.New(apierror.Malformed, "base: a spec must name the epoch it was built on (0 for the first)")
		}
		message.Spec = append([]byte{}, context.PostBody()...)
	}
	return message, nil
}

// number reads a whole number of the query, if it is there.
func number(context *fasthttp.RequestCtx, name string) (uint64, bool, error) {
	text := context.QueryArgs().Peek(name)
	if len(text) == 0 {
		return 0, false, nil
	}
	value, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0, false, apierror.New(apierror.Malformed, "%s: not a whole number", name)
	}
	return value, true, nil
}

// Status is what /v1/status tells.
type Status struct {
	Program  string         `json:"program"`
	Address  string         `json:"address"`
	Zone     string         `json:"zone"`
	Uptime   string         `json:"uptime"`
	Core     node.Status    `json:"core"`
	Counters node.Counters  `json:"counters"`
	Wire     map[string]any `json:"wire"`
}

func (host *Server) status(context *fasthttp.RequestCtx) {
	host.mutex.Lock()
	now := time.Now()
	status := Status{Program: "wtcore", Address: host.settings.Address, Zone: host.settings.Zone,
		Uptime: now.Sub(host.started).Round(time.Millisecond).String(), Core: host.node.Status(now), Counters: host.node.Counters()}
	host.mutex.Unlock()
	status.Wire = transport.CounterValues(host.transport)
	content, err := json.Marshal(status)
	if err != nil {
		Answer(context, 500, node.Reply{Outcome: "refused", Kind: string(apierror.Internal), Detail: err.Error()})
		return
	}
	context.SetContentType("application/json")
	context.SetBody(content)
}
