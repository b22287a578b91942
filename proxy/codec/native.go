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

// Paths of a runner.
const (
	pathRun      = "/run"
	pathIdentity = "/identity"
	pathLoad     = "/pressure"
)

const (
	headerContentType = "Content-Type"
	headerRetryAfter  = "Retry-After"
	typeJSON          = "application/json"
)

// Native is the codec of wardtray's own interface, docs/interface.md.
type Native struct{}

var _ Codec = Native{}

// statuses are the HTTP statuses of refusals.
var statuses = map[apierror.Code]int{
	apierror.Malformed:               fasthttp.StatusBadRequest,
	apierror.TooLarge:                fasthttp.StatusRequestEntityTooLarge,
	apierror.UnknownRoute:            fasthttp.StatusNotFound,
	apierror.UnknownModel:            fasthttp.StatusNotFound,
	apierror.UnknownAdapter:          fasthttp.StatusNotFound,
	apierror.UnknownKey:              fasthttp.StatusUnauthorized,
	apierror.QuotaExceeded:           fasthttp.StatusTooManyRequests,
	apierror.ConcurrencyLimitReached: fasthttp.StatusTooManyRequests,
	apierror.LatencyTargetMissed:     fasthttp.StatusTooManyRequests,
	apierror.QueueFull:               fasthttp.StatusTooManyRequests,
	apierror.NoRunner:                fasthttp.StatusServiceUnavailable,
	apierror.NotServing:              fasthttp.StatusServiceUnavailable,
	apierror.TooManyRemembered:       fasthttp.StatusServiceUnavailable,
	apierror.OutcomeUnknown:          fasthttp.StatusGatewayTimeout,
	apierror.RunFailed:               fasthttp.StatusBadGateway,
	apierror.DuplicateRequest:        fasthttp.StatusConflict,
	apierror.ClientDisconnected:      statusClientClosedRequest,
	apierror.NotFound:                fasthttp.StatusNotFound,
	apierror.Internal:                fasthttp.StatusInternalServerError,
}

// statusClientClosedRequest is nginx's status for a client that closed its connection; HTTP has none.
const statusClientClosedRequest = 499

// Read parses the headers and the body of a request.
func (Native) Read(client netio.Client) (*admission.Request, error) {
	return admission.Parse(client.Header, client.Body())
}

// Refuse writes the JSON of a refusal under the status of its code, with a Retry-After header in whole seconds.
func (Native) Refuse(client netio.Client, _ *admission.Request, refusal Refusal) {
	headers := []netio.Header{{Name: headerContentType, Value: typeJSON}}
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		headers = append(headers, netio.Header{Name: headerRetryAfter, Value: strconv.Itoa(seconds)})
	}
	headers = appendTerm(headers, refusal.Term)
	client.Respond(statuses[refusal.Code], headers, refusal.encode())
}

// appendTerm appends the term to the headers of a response, if there is one.
func appendTerm(headers []netio.Header, term uint64) []netio.Header {
	if term == 0 {
		return headers
	}
	return append(headers, netio.Header{Name: admission.HeaderTerm, Value: strconv.FormatUint(term, 10)})
}

// ResponseHeaders names the runner, the epoch and the term.
func (Native) ResponseHeaders(_ *fasthttp.Response, _ *admission.Request, run Attempt) (int, []netio.Header) {
	return fasthttp.StatusOK, appendTerm([]netio.Header{
		{Name: headerContentType, Value: "text/event-stream"},
		{Name: "Cache-Control", Value: "no-store"},
		{Name: admission.HeaderRunner, Value: run.Runner.ID},
		{Name: admission.HeaderEpoch, Value: strconv.FormatUint(run.Epoch, 10)},
	}, run.Term)
}

// ErrorEvent returns an error event.
func (Native) ErrorEvent(last int, refusal Refusal) []byte {
	return stream.Event{ID: last + 1, Name: "error", Data: refusal.encode()}.Bytes()
}

// EncodeRequest returns the request to a runner as docs/interface.md specifies it.
func (Native) EncodeRequest(request *admission.Request, run Attempt) []byte {
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	outgoing.Header.SetMethod(fasthttp.MethodPost)
	outgoing.SetRequestURI(pathRun)
	outgoing.Header.SetHost(run.Runner.Address)
	outgoing.Header.SetContentType(typeJSON)
	setRunnerHeaders(&outgoing.Header, request, run)
	for index, part := range request.Parts {
		outgoing.Header.Add(admission.HeaderPrefix, part+"="+strconv.Itoa(request.PartTokens[index]))
	}
	outgoing.SetBodyRaw(request.Body)
	content := &bytes.Buffer{}
	// Writing to memory can't fail.
	_, _ = outgoing.WriteTo(content)
	return content.Bytes()
}

// setRunnerHeaders sets the headers of a request to a runner in their order; one without a value is left out.
func setRunnerHeaders(outgoing *fasthttp.RequestHeader, request *admission.Request, run Attempt) {
	for _, header := range []netio.Header{
		{Name: admission.HeaderRoute, Value: request.Route},
		{Name: admission.HeaderModel, Value: request.Model},
		{Name: admission.HeaderAdapter, Value: request.Adapter},
		{Name: admission.HeaderRequest, Value: request.ID},
		{Name: admission.HeaderRunner, Value: run.Runner.ID},
		{Name: admission.HeaderDaemon, Value: run.Daemon},
		{Name: admission.HeaderEpoch, Value: strconv.FormatUint(run.Epoch, 10)},
		{Name: admission.HeaderPrompt, Value: strconv.Itoa(request.PromptTokens)},
		{Name: admission.HeaderAnswer, Value: strconv.Itoa(request.AnswerTokens)},
		{Name: admission.HeaderTenant, Value: run.Tenant},
		{Name: admission.HeaderWait, Value: optionalCount(int(run.Remaining.Milliseconds()))},
		{Name: admission.HeaderAfter, Value: optionalCount(run.LastEventID)},
	} {
		if header.Value != "" {
			outgoing.Set(header.Name, header.Value)
		}
	}
}

// optionalCount formats a number, and returns nothing for one that is not set.
func optionalCount(number int) string {
	if number <= 0 {
		return ""
	}
	return strconv.Itoa(number)
}

// rejection is the body with which a runner rejects a request.
type rejection struct {
	// Started says whether the runner began the run; nil where it does not say.
	Started *bool `json:"started"`
}

// Classify takes only a runner's own statement that it did not start the run as a rejection. A response that carries
// the id of another request back is that one's, come late; one that carries none is taken by its order.
func (Native) Classify(response *fasthttp.Response, request *admission.Request, _ Attempt) ResponseHead {
	switch Attribute(response.Header.PeekAll(admission.HeaderRequest), request.ID) {
	case Foreign:
		return ResponseHead{Disposition: Stray}
	case Mixed:
		return ResponseHead{Disposition: Unclear}
	case Unnamed, Own:
	}
	if response.StatusCode() == fasthttp.StatusOK {
		return ResponseHead{Disposition: Streams}
	}
	stated := rejection{}
	if err := json.Unmarshal(response.Body(), &stated); err == nil && stated.Started != nil && !*stated.Started {
		return ResponseHead{Disposition: NotExecuted}
	}
	return ResponseHead{Disposition: Unclear}
}

// Rules are those of sequential ids.
func (Native) Rules() stream.Rules { return stream.Rules{Sequential: true} }

// SingleUse is false: a client that does not know what became of a request sends it again under its id.
func (Native) SingleUse() bool { return false }

// IdentityPath is requested on each connection.
func (Native) IdentityPath() string { return pathIdentity }

// LoadPath is where a runner reports its load.
func (Native) LoadPath() string { return pathLoad }

// ReportTTL is 0: only probes report the load of a runner.
func (Native) ReportTTL() time.Duration { return 0 }

// ParseReport parses the JSON of a load report.
func (Native) ParseReport(content []byte) (load.Report, error) {
	report := load.Report{}
	return report, apierror.Wrap(json.Unmarshal(content, &report), apierror.Unreachable, "its pressure is no JSON")
}

// AnswersRequest reports whether a response to a probe names a request, which the answer to a probe does not.
func (Native) AnswersRequest(response *fasthttp.Response) bool {
	return len(response.Header.Peek(admission.HeaderRequest)) > 0
}
