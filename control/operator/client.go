// Package operator implements a client of the operators' HTTP API. It tries its control nodes in order until one
// responds, so that it tolerates unreachable nodes. A request that may have reached one node can safely be repeated at
// another, since an operation id has one outcome.
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
	// requestTimeout bounds a call to which the head of the chain responds.
	requestTimeout = proposal.ClientTimeout
	// statusTimeout bounds a call to which the called process responds by itself.
	statusTimeout = 2 * time.Second
	// maximumResponse bounds the body of a response, in bytes.
	maximumResponse = 64 << 20
)

// Client is a client of one fleet.
type Client struct {
	// ControlNodes are the HTTP addresses (host:port) of control nodes, in the order in which they are tried.
	ControlNodes []string
	http         *fasthttp.Client
}

// New returns a client of the control nodes at these HTTP addresses (host:port).
func New(controlNodes []string) *Client {
	return &Client{ControlNodes: controlNodes, http: &fasthttp.Client{
		ReadTimeout:               requestTimeout,
		WriteTimeout:              requestTimeout,
		MaxResponseBodySize:       maximumResponse,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		// Normalizing a path would decode the escaped slashes of an id.
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

// send sends a request and returns the status and the body of the response. Errors have the code Unreachable.
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

// request tries the control nodes in order and returns the first reply, or the last error.
func (client *Client) request(method, path string, body []byte) (proposal.Reply, error) {
	if len(client.ControlNodes) == 0 {
		return proposal.Reply{}, apierror.New(apierror.InvalidSettings, "no core is named; give --core")
	}
	var last error
	for _, address := range client.ControlNodes {
		reply, err := client.requestFrom(address, method, path, body)
		if err == nil {
			return reply, nil
		}
		last = err
	}
	return proposal.Reply{}, last
}

// requestFrom sends a request to one control node. The reply states the outcome, whatever the HTTP status is.
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

// Get reads the newest committed configuration. The head of the chain serves the read under its lease.
func (client *Client) Get() (proposal.Reply, error) {
	return client.request(http.MethodGet, "/v1/spec", nil)
}

// Change holds the parameters of a change of the configuration.
type Change struct {
	// Base is the epoch of the configuration on which the change is based; 0 for the first.
	Base uint64
	// Epoch is the epoch of the new configuration; 0 stands for the next one.
	Epoch uint64
	// Operation is the id of the change. A change that is submitted more than once under the same id is applied once.
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

// Zone closes or opens a zone; verb is "close" or "open". since is the epoch at which the operation was first sent; nil
// if it is not stated.
func (client *Client) Zone(verb, zone, operation string, since *uint64) (proposal.Reply, error) {
	path := "/v1/zones/" + url.PathEscape(zone) + "/" + verb + "?operation=" + url.QueryEscape(operation)
	if since != nil {
		path += "&since=" + strconv.FormatUint(*since, 10)
	}
	return client.request(http.MethodPost, path, nil)
}

// Operation returns the outcome of a change.
func (client *Client) Operation(operation string) (proposal.Reply, error) {
	return client.request(http.MethodGet, "/v1/operations/"+url.PathEscape(operation), nil)
}

// Explain asks the data daemon at an HTTP address where it would route a request with these headers and this body. An
// error has the code of the daemon's refusal, or Unreachable.
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
