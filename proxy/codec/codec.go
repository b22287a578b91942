// Package speech is how one kind of clients and runners speak: how a request is read, how an answer is
// given, what goes out to a runner and what its answer says. The executor knows no protocol; it is given a
// speech. The product's own is Own.
package codec

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/proxy/admission"
	"wardtray/proxy/stream"
	"wardtray/transport/netio"
)

// Refusal is every answer that is not a stream.
type Refusal struct {
	Kind    apierror.Code `json:"kind"`
	Detail  string        `json:"detail"`
	Remedy  string        `json:"remedy"`
	Ran     string        `json:"ran"`
	RetryMS int64         `json:"retry_after_ms,omitempty"`
	// Retry is when another try may help; DidNotRun is the promise that nothing ran and nothing will.
	Retry     time.Duration `json:"-"`
	DidNotRun bool          `json:"-"`
	// Late says that the time for an answer has passed.
	Late bool `json:"-"`
}

// Run is one attempt at one runner.
type Run struct {
	Runner load.Runner
	Daemon string
	Epoch  uint64
	// Left is how long the client still waits; 0: not told.
	Left time.Duration
	// After is the id of the last event that the client has; 0: none.
	After int
	// Urgency is from 0, the most urgent, to 9; 5 is nothing special.
	Urgency int
	Weights string
	// Tenant is whose key the request carried; empty: none was needed.
	Tenant string
}

// Disposition is what the head of a runner's answer says.
type Disposition string

// What a head may say.
const (
	// Runs: a stream of events follows.
	Runs Disposition = "runs"
	// Finished: the run has ended, in an answer that is no stream and is passed on whole.
	Finished Disposition = "ended"
	// Failed: the run has ended in a failure of the runner's own.
	Failed Disposition = "failed"
	// NotExecuted: the request did not run and will not.
	NotExecuted Disposition = "put back"
	// Elsewhere: another runner answers at this address; the request did not run.
	Elsewhere Disposition = "elsewhere"
	// Stray: the answer belongs to another request.
	Stray Disposition = "stray"
	// Unclear: nothing can be told from it.
	Unclear Disposition = "unclear"
)

// ResponseHead is all that a head tells.
type ResponseHead struct {
	Disposition Disposition
	// Report is what it tells of the runner's load, if it does.
	Report *load.Report
	// Keep is how long the connection may stay idle; 0: not told. Closes says that it may not.
	Keep   time.Duration
	Closes bool
}

// Codec is how one kind of clients and runners speak. It keeps no state and decides nothing.
type Codec interface {
	// Read reads a request and gives the first fault found.
	Read(client netio.Client) (*admission.Request, error)
	// Refuse gives the final answer to a request that has no stream; request is nil where none could be read.
	Refuse(client netio.Client, request *admission.Request, refusal Refusal)
	// Head gives the status and the headers with which a runner's answer is passed on.
	Head(response *fasthttp.Response, request *admission.Request, run Run) (int, []netio.Header)
	// Broken gives what ends a stream that is not whole; nothing: it is only broken off.
	Broken(last int, refusal Refusal) []byte
	// Outgoing gives the bytes of a request to a runner.
	Outgoing(request *admission.Request, run Run) []byte
	// Judge tells what the head of a runner's answer says.
	Judge(response *fasthttp.Response, request *admission.Request, run Run) ResponseHead
	// Rules are what the events of a run keep to.
	Rules() stream.Rules
	// Identity is the path at which a runner says who it is, asked on each new connection; empty: who is
	// meant is stated with every request instead.
	Identity() string
	// Probe is the path at which a runner tells its load, and Report reads what it answers.
	Probe() string
	// Fresh is for how long a runner's word of its load is good, so that it is not asked again.
	Fresh() time.Duration
	Report(content []byte) (load.Report, error)
	// Foreign tells whether an answer belongs to a request, so that it can't be a report.
	Foreign(response *fasthttp.Response) bool
}

// Native is wardtray's own speech; docs/interface.md.
type Native struct{}

var statuses = map[apierror.Code]int{
	apierror.Malformed: 400, apierror.TooLarge: 413, apierror.UnknownRoute: 404, apierror.UnknownModel: 404, apierror.UnknownAdapter: 404,
	apierror.UnknownKey: 401, apierror.QuotaSpent: 429, apierror.ConcurrencyLimitReached: 429, apierror.LatencyTargetMissed: 429, apierror.QueueFull: 429, apierror.NoRunner: 503, apierror.NotServing: 503,
	apierror.OutcomeUnknown: 504, apierror.RunFailed: 502, apierror.AlreadyTaken: 409, apierror.ClientGone: 499, apierror.NotFound: 404, apierror.Internal: 500,
}

// Read reads headers and body.
func (Native) Read(client netio.Client) (*admission.Request, error) {
	return admission.Parse(client.Header, client.Body())
}

// Refuse writes a refusal.
func (Native) Refuse(client netio.Client, _ *admission.Request, refusal Refusal) {
	headers := []netio.Header{{Name: "Content-Type", Value: "application/json"}}
	if refusal.Retry > 0 {
		headers = append(headers, netio.Header{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(refusal.Retry.Seconds())))})
	}
	client.Answer(statuses[refusal.Kind], headers, refusal.encode())
}

func (refusal Refusal) encode() []byte {
	refusal.RetryMS, refusal.Remedy = refusal.Retry.Milliseconds(), (&apierror.Error{Code: refusal.Kind}).Remedy()
	content, err := json.Marshal(refusal)
	if err != nil {
		return []byte(`{"kind":"internal"}`)
	}
	return content
}

// Head names the runner and the epoch.
func (Native) Head(_ *fasthttp.Response, _ *admission.Request, run Run) (int, []netio.Header) {
	return 200, []netio.Header{{Name: "Content-Type", Value: "text/event-stream"}, {Name: "Cache-Control", Value: "no-store"},
		{Name: admission.HeaderRunner, Value: run.Runner.ID}, {Name: admission.HeaderEpoch, Value: strconv.FormatUint(run.Epoch, 10)}}
}

// Broken gives an error event.
func (Native) Broken(last int, refusal Refusal) []byte {
	return stream.Event{ID: last + 1, Name: "error", Data: refusal.encode()}.Bytes()
}

// Outgoing gives the request as docs/interface.md says.
func (Native) Outgoing(request *admission.Request, run Run) []byte {
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	outgoing.Header.SetMethod("POST")
	outgoing.SetRequestURI("/run")
	outgoing.Header.SetHost(run.Runner.Address)
	outgoing.Header.SetContentType("application/json")
	for _, header := range []netio.Header{{Name: admission.HeaderRoute, Value: request.Route}, {Name: admission.HeaderModel, Value: request.Model},
		{Name: admission.HeaderAdapter, Value: request.Adapter}, {Name: admission.HeaderRequest, Value: request.ID}, {Name: admission.HeaderRunner, Value: run.Runner.ID},
		{Name: admission.HeaderDaemon, Value: run.Daemon}, {Name: admission.HeaderEpoch, Value: strconv.FormatUint(run.Epoch, 10)},
		{Name: admission.HeaderPrompt, Value: strconv.Itoa(request.PromptTokens)}, {Name: admission.HeaderAnswer, Value: strconv.Itoa(request.AnswerTokens)},
		{Name: admission.HeaderTenant, Value: run.Tenant}, {Name: admission.HeaderWait, Value: counted(int(run.Left.Milliseconds()))}, {Name: admission.HeaderAfter, Value: counted(run.After)}} {
		if header.Value != "" {
			outgoing.Header.Set(header.Name, header.Value)
		}
	}
	for place, part := range request.Parts {
		outgoing.Header.Add(admission.HeaderPrefix, part+"="+strconv.Itoa(request.PartTokens[place]))
	}
	outgoing.SetBodyRaw(request.Body)
	content := &bytes.Buffer{}
	// Writing to memory can't fail.
	_, _ = outgoing.WriteTo(content)
	return content.Bytes()
}

// counted gives a count that may be left out.
func counted(number int) string {
	if number <= 0 {
		return ""
	}
	return strconv.Itoa(number)
}

type putBack struct {
	Started *bool `json:"started"`
}

// Judge takes only the runner's own word that it did not start as that.
func (Native) Judge(response *fasthttp.Response, _ *admission.Request, _ Run) ResponseHead {
	if response.StatusCode() == 200 {
		return ResponseHead{Disposition: Runs}
	}
	said := putBack{}
	if err := json.Unmarshal(response.Body(), &said); err == nil && said.Started != nil && !*said.Started {
		return ResponseHead{Disposition: NotExecuted}
	}
	return ResponseHead{Disposition: Unclear}
}

// Rules are counted events.
func (Native) Rules() stream.Rules { return stream.Rules{Counted: true} }

// Identity is asked on each connection.
func (Native) Identity() string { return "/identity" }

// Probe is where a runner tells its pressure.
func (Native) Probe() string { return "/pressure" }

// Fresh is no time at all: nothing but a probe tells a runner's pressure.
func (Native) Fresh() time.Duration { return 0 }

// Report reads it.
func (Native) Report(content []byte) (load.Report, error) {
	report := load.Report{}
	return report, apierror.Wrap(json.Unmarshal(content, &report), apierror.Unreachable, "its pressure is no JSON")
}

// Foreign can't be told: answers name no request.
func (Native) Foreign(*fasthttp.Response) bool { return false }
