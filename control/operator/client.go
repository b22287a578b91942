// Package operator is the operators' side of the fleet over HTTP, as wtctl uses it and others may.
package operator

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/control/node"
	"wardtray/control/server"
	"wardtray/dataplane/daemon"
)

const (
	answerBound = 9 * time.Second
	statusBound = 2 * time.Second
	mostAnswer  = 64 << 20
)

// Client asks a fleet. Cores are tried in order until one answers.
type Client struct {
	Cores []string
	http  *fasthttp.Client
}

// New makes a client.
func New(cores []string) *Client {
	return &Client{Cores: cores, http: &fasthttp.Client{ReadTimeout: answerBound, WriteTimeout: answerBound, MaxResponseBodySize: mostAnswer,
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}}
}

// call sends one request to one address.
func (client *Client) call(method, address, path string, body []byte, bound time.Duration) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	if err := client.http.DoTimeout(request, response, bound); err != nil {
		return 0, nil, apierror.Wrap(err, apierror.Unreachable, "%s", address)
	}
	return response.StatusCode(), append([]byte{}, response.Body()...), nil
}

// ask asks the cores in turn. Asking again is safe: an operation id has one outcome.
func (client *Client) ask(method, path string, body []byte) (node.Reply, error) {
	var last error
	for _, address := range client.Cores {
		_, content, err := client.call(method, address, path, body, answerBound)
		if err != nil {
			last = err
			continue
		}
		reply := node.Reply{}
		if err := json.Unmarshal(content, &reply); err != nil {
			last = apierror.Wrap(err, apierror.Malformed, "the answer of %s", address)
			continue
		}
		return reply, nil
	}
	if last == nil {
		last = apierror.New(apierror.BadSettings, "no core is named; give --core")
	}
	return node.Reply{}, last
}

// Get reads the present spec from the tail.
func (client *Client) Get() (node.Reply, error) { return client.ask("GET", "/v1/spec", nil) }

// Change says on which epoch a change is built, under which operation id it goes, and which epoch the new
// spec is to have (0: the next).
type Change struct {
	Base, Epoch uint64
	Operation   string
}

func (change Change) path() string {
	path := fmt.Sprintf("/v1/spec?base=%d&operation=%s", change.Base, url.QueryEscape(change.Operation))
	if change.Epoch > 0 {
		path += fmt.Sprintf("&epoch=%d", change.Epoch)
	}
	return path
}

// Apply sends a whole spec.
func (client *Client) Apply(content []byte, change Change) (node.Reply, error) {
	return client.ask("PUT", change.path(), content)
}

// Change sends the entries to add, replace and remove.
func (client *Client) Change(content []byte, change Change) (node.Reply, error) {
	return client.ask("PATCH", change.path(), content)
}

// Zone closes or opens a zone.
func (client *Client) Zone(verb, zone, operation string) (node.Reply, error) {
	return client.ask("POST", "/v1/zones/"+url.PathEscape(zone)+"/"+verb+"?operation="+url.QueryEscape(operation), nil)
}

// Operation asks what became of a change.
func (client *Client) Operation(operation string) (node.Reply, error) {
	return client.ask("GET", "/v1/operations/"+url.PathEscape(operation), nil)
}

// FleetStatus is the status of every process that answered.
type FleetStatus struct {
	Cores  []server.Status `json:"cores"`
	Datas  []daemon.Status `json:"datas"`
	Silent []string        `json:"silent,omitempty"`
}

// Status asks the whole fleet: the cores named, those of the view, and the daemons of the directory.
func (client *Client) Status() (FleetStatus, error) {
	fleet := FleetStatus{}
	asked := map[string]bool{}
	daemons := map[string]bool{}
	pending := append([]string{}, client.Cores...)
	for len(pending) > 0 {
		address := pending[0]
		pending = pending[1:]
		if asked[address] || address == "" {
			continue
		}
		asked[address] = true
		status := server.Status{}
		if !client.one(address, &status) {
			fleet.Silent = append(fleet.Silent, address)
			continue
		}
		fleet.Cores = append(fleet.Cores, status)
		for _, member := range append(status.Core.Chain, status.Core.Acceptors...) {
			pending = append(pending, member.HTTP)
		}
		for _, member := range status.Core.Daemons {
			daemons[member.HTTP] = true
		}
	}
	if len(fleet.Cores) == 0 {
		return fleet, apierror.New(apierror.Unreachable, "none of %s answers", strings.Join(client.Cores, ", "))
	}
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	for address := range daemons {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			status := daemon.Status{}
			answered := client.one(address, &status)
			mutex.Lock()
			defer mutex.Unlock()
			if answered {
				fleet.Datas = append(fleet.Datas, status)
			} else {
				fleet.Silent = append(fleet.Silent, address)
			}
		}()
	}
	waiting.Wait()
	sort.Slice(fleet.Cores, func(left, right int) bool { return fleet.Cores[left].Address < fleet.Cores[right].Address })
	sort.Slice(fleet.Datas, func(left, right int) bool { return fleet.Datas[left].Address < fleet.Datas[right].Address })
	sort.Strings(fleet.Silent)
	return fleet, nil
}

func (client *Client) one(address string, into any) bool {
	status, content, err := client.call("GET", address, "/v1/status", nil, statusBound)
	return err == nil && status == 200 && json.Unmarshal(content, into) == nil
}

// Explain asks a data daemon where a request would go. The headers are those of a request.
func (client *Client) Explain(daemon string, headers map[string]string, body []byte) (json.RawMessage, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod("POST")
	request.SetRequestURI("http://" + daemon + "/v1/explain")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := client.http.DoTimeout(request, response, statusBound); err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "%s", daemon)
	}
	content := append([]byte{}, response.Body()...)
	if response.StatusCode() != 200 {
		refusal := struct {
			Kind   apierror.Code
			Detail string
		}{}
		if err := json.Unmarshal(content, &refusal); err != nil || refusal.Kind == "" {
			return nil, apierror.New(apierror.Unreachable, "%s answers %d", daemon, response.StatusCode())
		}
		return nil, apierror.New(refusal.Kind, "%s", refusal.Detail)
	}
	return content, nil
}
