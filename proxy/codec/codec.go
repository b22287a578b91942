// Package codec is the boundary between the proxy and the wire formats of clients and runners: how a request is read,
// how a response or a rejection is written, what is sent to a runner and what the head of its response means. The proxy
// knows no wire format, it is given a Codec. Native is the one of the product's own interface.
package codec

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/balancer/load"
	"wardtray/proxy/admission"
	"wardtray/proxy/stream"
	"wardtray/transport/netio"
)

// Codec translates between the proxy and one kind of clients and runners. It keeps no state and makes no decisions; its
// methods are called from many goroutines at once and must not block on anything but the client.
type Codec interface {
	// Read parses and checks the request of a client, whose body has been received completely. It returns the first
	// error found, an apierror whose code and detail are shown to the client.
	Read(client netio.Client) (*admission.Request, error)
	// Refuse writes the final response to a request that gets no stream; request is nil where none could be read.
	Refuse(client netio.Client, request *admission.Request, refusal Refusal)
	// ResponseHeaders returns the status and the headers with which a runner's response is forwarded to the client.
	ResponseHeaders(response *fasthttp.Response, request *admission.Request, run Attempt) (int, []netio.Header)
	// ErrorEvent returns the bytes that tell a client, after the event with the id last, that its stream ends incomplete.
	// Where it returns none, the stream is cut off without its regular end.
	ErrorEvent(last int, refusal Refusal) []byte
	// EncodeRequest returns the bytes of the request that one attempt writes to its runner.
	EncodeRequest(request *admission.Request, run Attempt) []byte
	// Classify classifies the head of a response that arrived from the runner of an attempt. It may claim NotExecuted or
	// Misdirected only where the runner itself states that the request did not run: the proxy will send it again.
	Classify(response *fasthttp.Response, request *admission.Request, run Attempt) ResponseHead
	// SingleUse reports whether every request has an id that is never sent again, so that none is to be remembered.
	SingleUse() bool
	// Rules are the rules that the events of a run obey.
	Rules() stream.Rules
	// IdentityPath is the path at which a runner states who it is, requested once on each new connection. Empty: every
	// request names the runner that is meant instead, and another one rejects it.
	IdentityPath() string
	// LoadPath is the path at which a runner reports its load.
	LoadPath() string
	// ReportTTL is how long a load report that came with a response is valid, so that the runner is not probed meanwhile.
	ReportTTL() time.Duration
	// ParseReport parses the response to a probe; a malformed one is an apierror.Unreachable.
	ParseReport(content []byte) (load.Report, error)
	// AnswersRequest reports whether a response belongs to some request, so that it can't be the answer to a probe.
	AnswersRequest(response *fasthttp.Response) bool
}
