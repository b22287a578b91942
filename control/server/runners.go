package server

import (
	"encoding/json"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/control/node"
	"wardtray/coordination/registry"
	"wardtray/wire"
)

// Register takes a runner's call and waits, well under a second, until it may be acknowledged.
func (host *Server) Register(line *wire.Runner) registry.Outcome {
	return host.await(func(now time.Time, answer func(outcome registry.Outcome)) { host.node.Register(now, line, answer) })
}

// Deregister ends a runner's life in the registry and waits likewise.
func (host *Server) Deregister(id string) registry.Outcome {
	return host.await(func(now time.Time, answer func(outcome registry.Outcome)) { host.node.Deregister(now, id, answer) })
}

func (host *Server) await(do func(now time.Time, answer func(outcome registry.Outcome))) registry.Outcome {
	outcomes := make(chan registry.Outcome, 1)
	host.step(func(now time.Time) { do(now, func(outcome registry.Outcome) { outcomes <- outcome }) })
	return <-outcomes
}

// refusals are the outcomes that acknowledge nothing.
var refusals = map[registry.Outcome]node.Reply{
	registry.Full:    {Outcome: "refused", Kind: string(apierror.Busy), Detail: "more runners are registered than this core remembers"},
	registry.Unheard: {Outcome: "refused", Kind: string(apierror.CutOff), Detail: "no daemon has confirmed it"},
}

// RegistrationStatus gives the HTTP status of an outcome, and what to tell where it acknowledges nothing.
func RegistrationStatus(outcome registry.Outcome) (status int, refusal node.Reply) {
	if refusal, refused := refusals[outcome]; refused {
		return 503, refusal
	}
	return 200, node.Reply{}
}

// DroppedHeartbeat refuses a runner's call whose caller has left, as Dropped does, unless it says that the runner leaves.
//
// Why: a runner that got no answer has called elsewhere, or crashed, and its old call would make it seem heard of now.
// That it leaves is true whenever it is read.
func DroppedHeartbeat(context *fasthttp.RequestCtx, line *wire.Runner) bool {
	return line.State != registry.Draining && Dropped(context)
}

// mountRunners opens the runners' side.
func (host *Server) mountRunners(routes *router.Router) {
	routes.GET("/v1/runners", host.listRunners)
	routes.PUT("/v1/runners/{id}", func(context *fasthttp.RequestCtx) {
		id, _ := context.UserValue("id").(string)
		line, err := registry.Read(id, context.PostBody())
		if err != nil {
			AnswerFault(context, err)
			return
		}
		if DroppedHeartbeat(context, line) {
			return
		}
		answerRunner(context, host.Register(line))
	})
	routes.DELETE("/v1/runners/{id}", func(context *fasthttp.RequestCtx) {
		id, _ := context.UserValue("id").(string)
		if !registry.CheckID(id) {
			AnswerFault(context, apierror.New(apierror.Malformed, "id: wants up to 128 letters without blanks or slashes"))
			return
		}
		answerRunner(context, host.Deregister(id))
	})
}

// AnswerFault refuses what can't be read.
func AnswerFault(context *fasthttp.RequestCtx, err error) {
	found := apierror.Of(err)
	statuses := map[apierror.Code]int{apierror.Malformed: 400, apierror.TooLarge: 413}
	detail := found.Detail
	if cause := found.Unwrap(); cause != nil {
		detail += ": " + cause.Error()
	}
	Answer(context, statuses[found.Code], node.Reply{Outcome: "refused", Kind: string(found.Code), Detail: detail})
}

func answerRunner(context *fasthttp.RequestCtx, outcome registry.Outcome) {
	status, refusal := RegistrationStatus(outcome)
	if status != 200 {
		context.Response.Header.Set("Retry-After", "1")
		Answer(context, status, refusal)
		return
	}
	context.SetContentType("application/json")
	context.SetBodyString(`{"outcome":"` + string(outcome) + `"}`)
}

// RunnerStatus is one runner as /v1/runners lists it.
type RunnerStatus struct {
	Runner   string `json:"runner"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	Revision string `json:"revision,omitempty"`
	Slots    uint32 `json:"slots"`
	State    string `json:"state"`
	Cold     string `json:"cold,omitempty"`
	Call     uint64 `json:"call"`
}

// Runners lists every registered runner, also those that are gone or silent.
func (host *Server) Runners() []*wire.Runner {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.node.Runners(time.Now())
}

func (host *Server) listRunners(context *fasthttp.RequestCtx) {
	known := host.Runners()
	lines := make([]RunnerStatus, 0, len(known))
	for _, runner := range known {
		line := RunnerStatus{Runner: runner.RunnerId, Address: runner.Address, Zone: runner.Zone, Service: runner.Service, Revision: runner.Revision,
			Slots: runner.Slots, State: runner.State, Call: runner.Call}
		if runner.SlowStartMilliseconds > 0 {
			line.Cold = (time.Duration(runner.SlowStartMilliseconds) * time.Millisecond).String()
		}
		lines = append(lines, line)
	}
	content, err := json.Marshal(map[string]any{"runners": lines})
	if err != nil {
		Answer(context, 500, node.Reply{Outcome: "refused", Kind: string(apierror.Internal), Detail: err.Error()})
		return
	}
	context.SetContentType("application/json")
	context.SetBody(content)
}
