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

// Paths of a runner's endpoints.
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

// Native is the codec of wardtray's own interface, which docs/interface.md specifies.
type Native struct{}

var _ Codec = Native{}

// statuses maps the error code of a refusal to its HTTP status.
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
	apierror.AtMostOnceLimitReached:  fasthttp.StatusServiceUnavailable,
	apierror.OutcomeUnknown:          fasthttp.StatusGatewayTimeout,
	apierror.RunFailed:               fasthttp.StatusBadGateway,
	apierror.DuplicateRequest:        fasthttp.StatusConflict,
	apierror.ClientDisconnected:      statusClientClosedRequest,
	apierror.NotFound:                fasthttp.StatusNotFound,
	apierror.Internal:                fasthttp.StatusInternalServerError,
}

// statusClientClosedRequest is nginx's status for a client that closed its connection; HTTP defines none.
const statusClientClosedRequest = 499

// Read parses the headers and the body of a client's request.
func (Native) Read(client netio.Client) (*admission.Request, error) {
	return admission.Parse(client.Header, client.Body())
}

// Refuse writes a refusal as JSON with the status of its code. The Retry-After header is rounded up to whole seconds.
func (Native) Refuse(client netio.Client, _ *admission.Request, refusal Refusal) {
	headers := []netio.Header{{Name: headerContentType, Value: typeJSON}}
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		headers = append(headers, netio.Header{Name: headerRetryAfter, Value: strconv.Itoa(seconds)})
	}
	headers = appendTerm(headers, refusal.Term)
	client.Respond(statuses[refusal.Code], headers, refusal.encode())
}

// appendTerm appends the term header to the headers of a response, unless the term is 0.
func appendTerm(headers []netio.Header, term uint64) []netio.Header {
	if term == 0 {
		return headers
	}
	return append(headers, netio.Header{Name: admission.HeaderTerm, Value: strconv.FormatUint(term, 10)})
}

// ResponseHeaders returns the headers of an event stream, with the runner, the epoch and the term.
func (Native) ResponseHeaders(_ *fasthttp.Response, _ *admission.Request, attempt Attempt) (int, []netio.Header) {
	return fasthttp.StatusOK, appendTerm([]netio.Header{
		{Name: headerContentType, Value: "text/event-stream"},
		{Name: "Cache-Control", Value: "no-store"},
		{Name: admission.HeaderRunner, Value: attempt.Runner.ID},
		{Name: admission.HeaderEpoch, Value: strconv.FormatUint(attempt.Epoch, 10)},
	}, attempt.Term)
}

// ErrorEvent returns an event with the name "error" and the JSON of the refusal.
func (Native) ErrorEvent(last int, refusal Refusal) []byte {
	return stream.Event{ID: last + 1, Name: "error", Data: refusal.encode()}.Bytes()
}

// EncodeRequest returns the request to a runner as specified in docs/interface.md.
func (Native) EncodeRequest(request *admission.Request, attempt Attempt) []byte {
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	outgoing.Header.SetMethod(fasthttp.MethodPost)
	outgoing.SetRequestURI(pathRun)
	outgoing.Header.SetHost(attempt.Runner.Address)
	outgoing.Header.SetContentType(typeJSON)
	setRunnerHeaders(&outgoing.Header, request, attempt)
	for index, part := range request.Parts {
		outgoing.Header.Add(admission.HeaderPrefix, part+"="+strconv.Itoa(request.PartTokens[index]))
	}
	outgoing.SetBodyRaw(request.Body)
	content := &bytes.Buffer{}
	// Writing to memory can't fail.
	_, _ = outgoing.WriteTo(content)
	return content.Bytes()
}

// setRunnerHeaders sets the headers of a request to a runner in a fixed order. Headers with an empty value are omitted.
func setRunnerHeaders(outgoing *fasthttp.RequestHeader, request *admission.Request, attempt Attempt) {
	for _, header := range []netio.Header{
		{Name: admission.HeaderRoute, Value: request.Route},
		{Name: admission.HeaderModel, Value: request.Model},
		{Name: admission.HeaderAdapter, Value: request.Adapter},
		{Name: admission.HeaderRequest, Value: request.ID},
		{Name: admission.HeaderRunner, Value: attempt.Runner.ID},
		{Name: admission.HeaderDaemon, Value: attempt.Daemon},
		{Name: admission.HeaderEpoch, Value: strconv.FormatUint(attempt.Epoch, 10)},
		{Name: admission.HeaderPromptTokens, Value: strconv.Itoa(request.PromptTokens)},
		{Name: admission.HeaderAnswerTokens, Value: strconv.Itoa(request.AnswerTokens)},
		{Name: admission.HeaderTenant, Value: attempt.Tenant},
		{Name: admission.HeaderTimeout, Value: optionalCount(int(attempt.Remaining.Milliseconds()))},
		{Name: admission.HeaderLastEventID, Value: optionalCount(attempt.LastEventID)},
	} {
		if header.Value != "" {
			outgoing.Set(header.Name, header.Value)
		}
	}
}

// optionalCount formats a positive number and returns an empty string for any other.
func optionalCount(number int) string {
	if number <= 0 {
		return ""
	}
	return strconv.Itoa(number)
}

// rejection is the body with which a runner rejects a request.
type rejection struct {
	// Started reports whether the runner started the run; nil if it does not state that.
	Started *bool `json:"started"`
}

// Classify returns NotExecuted only if the runner itself states that it did not start the run. A response with the id
// of another request is that request's late response; a response without an id is matched by its order.
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
	rejected := rejection{}
	if err := json.Unmarshal(response.Body(), &rejected); err == nil && rejected.Started != nil && !*rejected.Started {
		return ResponseHead{Disposition: NotExecuted}
	}
	return ResponseHead{Disposition: Unclear}
}

// Rules returns the rules for sequential event ids.
func (Native) Rules() stream.Rules { return stream.Rules{Sequential: true} }

// SingleUse returns false: a client that does not know the outcome of a request retries it with the same id.
func (Native) SingleUse() bool { return false }

// IdentityPath returns the path that is requested on each new connection.
func (Native) IdentityPath() string { return pathIdentity }

// LoadPath returns the path of a runner's load report.
func (Native) LoadPath() string { return pathLoad }

// ReportTTL returns 0: only responses to probes carry load reports.
func (Native) ReportTTL() time.Duration { return 0 }

// ParseReport parses the JSON of a load report.
func (Native) ParseReport(content []byte) (load.Report, error) {
	report := load.Report{}
	return report, apierror.Wrap(json.Unmarshal(content, &report), apierror.Unreachable, "its pressure is no JSON")
}

// RespondsToClient reports whether a response names a request; the response to a probe does not.
func (Native) RespondsToClient(response *fasthttp.Response) bool {
	return len(response.Header.Peek(admission.HeaderRequest)) > 0
}
