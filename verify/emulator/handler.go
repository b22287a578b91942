package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/proxy/admission"
	"wardtray/transport/netio"
	"wardtray/verify/histories"
)

// Paths of a runner's HTTP interface.
const (
	pathIdentity = "/identity"
	pathLoad     = "/pressure"
	pathRun      = "/run"
)

// handle responds to one request.
func (runner *Runner) handle(request *fasthttp.RequestCtx) {
	if runner.Faults.Unresponsive.Load() {
		runner.ignore(request)
		return
	}
	switch string(request.Path()) {
	case pathIdentity:
		runner.handleIdentity(request)
	case pathLoad:
		runner.handleLoad(request)
	case pathRun:
		runner.handleRun(request)
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// ignore records a request and doesn't respond until the runner stops.
func (runner *Runner) ignore(request *fasthttp.RequestCtx) {
	if string(request.Path()) == pathRun {
		run := runner.recordRun(request, runner.requests.count(), true)
		_, stop := runner.watch(request, run)
		defer stop()
	}
	<-runner.stopped
}

func (runner *Runner) handleIdentity(request *fasthttp.RequestCtx) {
	respond(request, fasthttp.StatusOK, identityResponse{
		RunnerID: runner.ID,
		Service:  runner.Service,
		Model:    runner.Model,
		Weights:  runner.Weights,
		Adapters: runner.Adapters,
	})
}

func (runner *Runner) handleLoad(request *fasthttp.RequestCtx) {
	report := runner.requests.reportBefore(time.Now().Add(-runner.profile.ReportAge))
	respond(request, fasthttp.StatusOK, loadResponse{
		Running: report.running,
		Waiting: report.waiting,
		Slots:   runner.profile.Slots,
	})
}

func (runner *Runner) handleRun(request *fasthttp.RequestCtx) {
	request.Response.Header.SetBytesV(admission.HeaderRequest, request.Request.Header.Peek(admission.HeaderRequest))
	concurrent, number, admitted := runner.requests.admit(runner.profile.admissible())
	run := runner.recordRun(request, concurrent, admitted)
	if !admitted {
		respond(request, fasthttp.StatusServiceUnavailable, rejectionResponse{Started: false})
		return
	}
	disconnected, stop := runner.watch(request, run)
	stream := &stream{
		runner:       runner,
		run:          run,
		name:         fmt.Sprintf("%s/%d", runner.ID, number),
		prompt:       parsePrompt(&request.Request.Header),
		partial:      runner.Faults.Partial.Load(),
		disconnected: disconnected,
	}
	request.SetContentType("text/event-stream")
	request.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer runner.finish(run)
		// The server must not read from the connection before the watch has ended.
		defer stop()
		stream.writer = writer
		stream.write()
	})
}

// watch closes disconnected and records the time when the connection of a run ends. The caller must call stop to end
// the watch.
func (runner *Runner) watch(
	request *fasthttp.RequestCtx,
	run *histories.Run,
) (disconnected <-chan struct{}, stop func()) {
	ended := make(chan struct{})
	return ended, netio.FromHTTP(request).OnDisconnect(func() {
		runner.history.Change(func(*histories.History) { run.Canceled = time.Now() })
		close(ended)
	})
}

// finish records the end of a run.
func (runner *Runner) finish(run *histories.Run) {
	runner.requests.release()
	runner.history.Change(func(*histories.History) { run.Finished = time.Now() })
}

// recordRun records a request that was read. concurrent is the number of other requests that ran or waited at that
// time; started is false if the request was rejected.
func (runner *Runner) recordRun(request *fasthttp.RequestCtx, concurrent int, started bool) *histories.Run {
	header := func(name string) string { return string(request.Request.Header.Peek(name)) }
	// An invalid epoch counts as 0.
	epoch, _ := strconv.ParseUint(header(admission.HeaderEpoch), 10, 64)
	now := time.Now()
	age := now.Sub(runner.started)
	run := &histories.Run{
		At:             now,
		Request:        header(admission.HeaderRequest),
		Route:          header(admission.HeaderRoute),
		Backend:        runner.Backend,
		Model:          header(admission.HeaderModel),
		Weights:        runner.Weights,
		Runner:         runner.ID,
		IntendedRunner: header(admission.HeaderRunner),
		Service:        runner.Service,
		Zone:           runner.Zone,
		Daemon:         header(admission.HeaderDaemon),
		Epoch:          epoch,
		Started:        started,
		Concurrent:     concurrent,
		WarmingUp:      runner.profile.isWarmingUp(age),
		Capacity:       runner.profile.capacity(age),
	}
	runner.history.Change(func(history *histories.History) { history.Runs = append(history.Runs, run) })
	return run
}

// identityResponse is the body of a response to GET /identity.
type identityResponse struct {
	RunnerID string   `json:"runner_id"`
	Service  string   `json:"service"`
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters"`
}

// loadResponse is the body of a response to GET /pressure, a load report.
type loadResponse struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// rejectionResponse is the body of a rejection: the request was not started.
type rejectionResponse struct {
	Started bool `json:"started"`
}

// respond sends a response in JSON.
func respond(request *fasthttp.RequestCtx, status int, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	request.SetStatusCode(status)
	request.SetContentType("application/json")
	request.SetBody(content)
}
