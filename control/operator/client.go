// Package operator is a client of the operators' HTTP API. It asks the control nodes it was given in turn until one
// responds, so that a single unreachable node does not matter; a request that may have reached a node is safe to repeat
// at another, since an operation id has one outcome.
package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/control/proposal"
)

const (
	// requestTimeout bounds a call that the chain responds to.
	requestTimeout = proposal.ClientTimeout
	// statusTimeout bounds a call that a process responds to by itself.
	statusTimeout = 2 * time.Second
	// maximumResponse bounds the body of a response, in bytes.
	maximumResponse = 64 << 20
)

// Client is a client of one fleet.
type Client struct {
	// Cores are the HTTP addresses (host:port) of control nodes, in the order in which they are asked.
	Cores []string
	http  *fasthttp.Client
}

// New returns a client that asks the control nodes at these HTTP addresses.
func New(cores []string) *Client {
	return &Client{Cores: cores, http: &fasthttp.Client{
		ReadTimeout:               requestTimeout,
		WriteTimeout:              requestTimeout,
		MaxResponseBodySize:       maximumResponse,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		// An id in a path is sent as it was escaped; normalizing would decode its slashes.
		DisablePathNormalizing: true,
	}}
}

// httpRequest is one request to one process.
type httpRequest struct {
	method, address, path string
	headers               map[string]string
	body                  []byte
	timeout               time.Duration
}

// send sends a request and returns the response's status and body. An error has the code Unreachable.
func (client *Client) send(call httpRequest) (status int, content []byte, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI("http://" + call.address + call.path)
	for name, value := range call.headers {
		request.Header.Set(name, value)
	}
	request.SetBody(call.body)
	if err := client.http.DoTimeout(request, response, call.timeout); err != nil {
		return 0, nil, apierror.Wrap(err, apierror.Unreachable, "%s", call.address)
	}
	return response.StatusCode(), append([]byte{}, response.Body()...), nil
}

// request asks the control nodes in turn, and returns the first reply, or the last error.
func (client *Client) request(method, path string, body []byte) (proposal.Reply, error) {
	if len(client.Cores) == 0 {
		return proposal.Reply{}, apierror.New(apierror.InvalidSettings, "no core is named; give --core")
	}
	var last error
	for _, address := range client.Cores {
		reply, err := client.requestFrom(address, method, path, body)
		if err == nil {
			return reply, nil
		}
		last = err
	}
	return proposal.Reply{}, last
}

// requestFrom asks one control node. The reply says what became of the request, whatever its HTTP status is.
func (client *Client) requestFrom(address, method, path string, body []byte) (proposal.Reply, error) {
	call := httpRequest{method: method, address: address, path: path, body: body, timeout: requestTimeout}
	_, content, err := client.send(call)
	if err != nil {
		return proposal.Reply{}, err
	}
	reply := proposal.Reply{}
	if err := json.Unmarshal(content, &reply); err != nil {
		return proposal.Reply{}, apierror.Wrap(err, apierror.Malformed, "the answer of %s", address)
	}
	return reply, nil
}

// Get reads the newest committed configuration. The head of the chain answers, under its lease.
func (client *Client) Get() (proposal.Reply, error) {
	return client.request(http.MethodGet, "/v1/spec", nil)
}

// Change says how a change of the configuration is to be applied.
type Change struct {
	// Base is the epoch of the configuration on which the change is built; 0 for the first.
	Base uint64
	// Epoch is the epoch that the new configuration gets; 0 for the next one.
	Epoch uint64
	// Operation is the id of the change. A change submitted again under the same id is applied once.
	Operation string
}

func (change Change) path() string {
	path := fmt.Sprintf("/v1/spec?base=%d&operation=%s", change.Base, url.QueryEscape(change.Operation))
	if change.Epoch > 0 {
		path += fmt.Sprintf("&epoch=%d", change.Epoch)
	}
	return path
}

// Apply replaces the configuration by a complete document.
func (client *Client) Apply(content []byte, change Change) (proposal.Reply, error) {
	return client.request(http.MethodPut, change.path(), content)
}

// Change adds, replaces and removes named entries of the configuration.
func (client *Client) Change(content []byte, change Change) (proposal.Reply, error) {
	return client.request(http.MethodPatch, change.path(), content)
}

// Zone closes or opens a zone; verb is "close" or "open".
func (client *Client) Zone(verb, zone, operation string, since *uint64) (proposal.Reply, error) {
	path := "/v1/zones/" + url.PathEscape(zone) + "/" + verb + "?operation=" + url.QueryEscape(operation)
	if since != nil {
		path += "&since=" + strconv.FormatUint(*since, 10)
	}
	return client.request(http.MethodPost, path, nil)
}

// Operation returns what became of a change.
func (client *Client) Operation(operation string) (proposal.Reply, error) {
	return client.request(http.MethodGet, "/v1/operations/"+url.PathEscape(operation), nil)
}

// Explain asks the data daemon at an HTTP address where it would send a request. The headers are those of the request.
// An error has the code of the daemon's refusal, or Unreachable.
func (client *Client) Explain(daemon string, headers map[string]string, body []byte) (json.RawMessage, error) {
	call := httpRequest{
		method:  http.MethodPost,
		address: daemon,
		path:    "/v1/explain",
		headers: headers,
		body:    body,
		timeout: statusTimeout,
	}
	status, content, err := client.send(call)
	if err != nil {
		return nil, err
	}
	if status == http.StatusOK {
		return content, nil
	}
	refusal := struct {
		Kind   apierror.Code `json:"kind"`
		Detail string        `json:"detail"`
	}{}
	if err := json.Unmarshal(content, &refusal); err != nil || refusal.Kind == "" {
		return nil, apierror.New(apierror.Unreachable, "%s answers %d", daemon, status)
	}
	return nil, apierror.New(refusal.Kind, "%s", refusal.Detail)
}
