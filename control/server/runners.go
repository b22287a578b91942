package server

import (
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/control/proposal"
	"wardtray/coordination/registry"
	"wardtray/wire"
)

// parseErrorStatuses maps the error codes of malformed requests to HTTP statuses.
var parseErrorStatuses = map[apierror.Code]int{
	apierror.Malformed: fasthttp.StatusBadRequest,
	apierror.TooLarge:  fasthttp.StatusRequestEntityTooLarge,
}

// registrationRefusals maps the outcomes that acknowledge nothing to their replies.
var registrationRefusals = map[registry.Outcome]proposal.Reply{
	registry.TableFull:   refusal(apierror.Busy, "more runners are registered than this core remembers"),
	registry.Unreachable: refusal(apierror.Partitioned, "no daemon has confirmed it"),
}

// mountRunners adds the runners' routes.
func (server *Server) mountRunners(routes *router.Router) {
	routes.GET("/v1/runners", server.handleListRunners)
	routes.PUT("/v1/runners/{id}", server.handleRegister)
	routes.DELETE("/v1/runners/{id}", server.handleDeregister)
}

// handleRegister handles a runner's heartbeat.
func (server *Server) handleRegister(request *fasthttp.RequestCtx) {
	id, err := RunnerID(request)
	if err != nil {
		WriteParseError(request, err)
		return
	}
	runner, err := registry.ParseCall(id, request.PostBody())
	if err != nil {
		WriteParseError(request, err)
		return
	}
	if RefuseDisconnectedHeartbeat(request, runner) {
		return
	}
	writeRegistration(request, server.Register(runner))
}

// handleDeregister removes a runner.
func (server *Server) handleDeregister(request *fasthttp.RequestCtx) {
	id, err := RunnerID(request)
	if err == nil && !registry.ValidID(id) {
		err = apierror.New(apierror.Malformed, "id: wants up to 128 letters without blanks or slashes")
	}
	if err != nil {
		WriteParseError(request, err)
		return
	}
	writeRegistration(request, server.Deregister(id))
}

// RunnerID returns the unescaped runner id in the path of a runner's call; empty if its route has none. Errors have the
// code Malformed.
func RunnerID(request *fasthttp.RequestCtx) (string, error) {
	var id string
	err := readSegment(request, "id", &id)
	return id, err
}

// Register handles a runner's heartbeat and waits, for well under a second, for its outcome.
func (server *Server) Register(runner *wire.Runner) registry.Outcome {
	return server.awaitOutcome(func(now time.Time, done func(outcome registry.Outcome)) {
		server.node.Register(now, runner, done)
	})
}

// Deregister removes a runner from the registry and waits for the outcome, as Register does.
func (server *Server) Deregister(id string) registry.Outcome {
	return server.awaitOutcome(func(now time.Time, done func(outcome registry.Outcome)) {
		server.node.Deregister(now, id, done)
	})
}

// awaitOutcome runs a step that calls done once, during the step or later, and returns the outcome passed to done.
func (server *Server) awaitOutcome(do func(now time.Time, done func(outcome registry.Outcome))) registry.Outcome {
	outcomes := make(chan registry.Outcome, 1)
	server.step(func(now time.Time) {
		do(now, func(outcome registry.Outcome) { outcomes <- outcome })
	})
	return <-outcomes
}

// RegistrationStatus returns the HTTP status of an outcome, and the reply if the outcome acknowledges nothing.
func RegistrationStatus(outcome registry.Outcome) (status int, refusal proposal.Reply) {
	if refusal, refused := registrationRefusals[outcome]; refused {
		return fasthttp.StatusServiceUnavailable, refusal
	}
	return fasthttp.StatusOK, proposal.Reply{}
}

// RefuseDisconnectedHeartbeat refuses a runner's heartbeat whose caller has disconnected, as RefuseDisconnected does,
// unless the heartbeat states that the runner is draining.
//
// A runner that got no response has called another process, or has crashed; handling its old heartbeat would make a
// crashed runner appear alive. A draining runner stays draining, so such a heartbeat is true however late it is read.
func RefuseDisconnectedHeartbeat(request *fasthttp.RequestCtx, runner *wire.Runner) bool {
	return runner.State != registry.Draining && RefuseDisconnected(request)
}

// WriteParseError responds to a request that cannot be parsed. An error with a code other than Malformed or TooLarge is
// an internal error and gets the status 500.
func WriteParseError(request *fasthttp.RequestCtx, err error) {
	found := apierror.Of(err)
	detail := found.Detail
	if cause := found.Unwrap(); cause != nil {
		detail += ": " + cause.Error()
	}
	status, isClientError := parseErrorStatuses[found.Code]
	if !isClientError {
		status = fasthttp.StatusInternalServerError
	}
	WriteReply(request, status, refusal(found.Code, detail))
}

// WriteRegistrationRefusal refuses a runner's call whose outcome acknowledges nothing, and reports whether it did.
func WriteRegistrationRefusal(request *fasthttp.RequestCtx, outcome registry.Outcome) bool {
	status, refusal := RegistrationStatus(outcome)
	if status == fasthttp.StatusOK {
		return false
	}
	request.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	WriteReply(request, status, refusal)
	return true
}

// writeRegistration responds with the outcome of a runner's call.
func writeRegistration(request *fasthttp.RequestCtx, outcome registry.Outcome) {
	if !WriteRegistrationRefusal(request, outcome) {
		writeBody(request, fasthttp.StatusOK, []byte(`{"outcome":"`+string(outcome)+`"}`))
	}
}

// RunnerStatus is one runner as GET /v1/runners lists it.
type RunnerStatus struct {
	Runner   string `json:"runner"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	Revision string `json:"revision,omitempty"`
	// Slots is the number of requests that the runner processes concurrently.
	Slots uint32 `json:"slots"`
	State string `json:"state"`
	// SlowStart is the remaining time of the runner's slow start, as time.Duration writes it; empty if there is none.
	SlowStart string `json:"cold,omitempty"`
	// Call is the number of the runner's last call; numbers increase with each call.
	Call uint64 `json:"call"`
}

// runnerList is the response to GET /v1/runners.
type runnerList struct {
	Runners []RunnerStatus `json:"runners"`
}

// Runners returns every registered runner, including those that are gone or unresponsive.
func (server *Server) Runners() []*wire.Runner {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.node.Runners(time.Now())
}

func (server *Server) handleListRunners(request *fasthttp.RequestCtx) {
	runners := server.Runners()
	list := runnerList{Runners: make([]RunnerStatus, 0, len(runners))}
	for _, runner := range runners {
		list.Runners = append(list.Runners, runnerStatus(runner))
	}
	writeJSON(request, list)
}

// runnerStatus returns the entry of a runner in the list.
func runnerStatus(runner *wire.Runner) RunnerStatus {
	status := RunnerStatus{
		Runner:   runner.RunnerId,
		Address:  runner.Address,
		Zone:     runner.Zone,
		Service:  runner.Service,
		Revision: runner.Revision,
		Slots:    runner.Slots,
		State:    runner.State,
		Call:     runner.Call,
	}
	if runner.SlowStartMilliseconds > 0 {
		status.SlowStart = (time.Duration(runner.SlowStartMilliseconds) * time.Millisecond).String()
	}
	return status
}
