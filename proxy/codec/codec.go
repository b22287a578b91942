// Package codec separates the proxy from the wire formats of clients and runners: a Codec parses requests, writes
// responses and refusals, encodes requests to runners and interprets the heads of their responses. The proxy itself
// depends on no wire format. Native is the codec of wardtray's own interface.
package codec

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/balancer/load"
	"wardtray/proxy/admission"
	"wardtray/proxy/stream"
	"wardtray/transport/netio"
)

// Codec translates between the proxy and the wire format of one kind of clients and runners. It keeps no state and
// makes no decisions. Its methods are called concurrently and must not block on anything but the client.
type Codec interface {
	// Read parses and validates the request of a client, whose body has been received completely. It returns the first
	// error found, an apierror whose code and detail are sent to the client.
	Read(client netio.Client) (*admission.Request, error)
	// Refuse writes the error response to a request that gets no stream; request is nil if it could not be parsed.
	Refuse(client netio.Client, request *admission.Request, refusal Refusal)
	// ResponseHeaders returns the status and the headers with which a runner's response is forwarded to the client.
	ResponseHeaders(response *fasthttp.Response, request *admission.Request, attempt Attempt) (int, []netio.Header)
	// ErrorEvent returns an event, sent after the event with the id last, that reports that the stream ends incomplete. If
	// it returns no bytes, the stream is aborted instead.
	ErrorEvent(last int, refusal Refusal) []byte
	// EncodeRequest returns the encoded request that an attempt writes to its runner.
	EncodeRequest(request *admission.Request, attempt Attempt) []byte
	// Classify interprets the head of a response from the runner of an attempt. It may return NotExecuted or Misdirected
	// only if the runner itself states that the request did not run, because the proxy then retries the request.
	Classify(response *fasthttp.Response, request *admission.Request, attempt Attempt) ResponseHead
	// SingleUse reports whether every client attempt has an id of its own, so that no request needs a deduplication entry.
	SingleUse() bool
	// Rules returns the rules for the events of a run.
	Rules() stream.Rules
	// IdentityPath returns the path of a runner's identity document, which is requested once on each new connection. If it
	// is empty, every request names its intended runner instead, and any other runner rejects the request.
	IdentityPath() string
	// LoadPath returns the path of a runner's load report.
	LoadPath() string
	// ReportTTL returns how long a load report received with a response is valid; during it the runner is not probed.
	ReportTTL() time.Duration
	// ParseReport parses the response to a probe. A malformed one returns an apierror.Unreachable.
	ParseReport(content []byte) (load.Report, error)
	// RespondsToClient reports whether a response belongs to a client's request and so can't be the response to a probe.
	RespondsToClient(response *fasthttp.Response) bool
}
