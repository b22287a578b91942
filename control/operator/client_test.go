package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"wardtray/apierror"
	"wardtray/control/node"
	"wardtray/control/proposal"
	"wardtray/control/server"
	"wardtray/dataplane/daemon"
)

// unreachable is an address at which nothing listens.
const unreachable = "127.0.0.1:1"

// serve starts an HTTP server with a handler and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	process := httptest.NewServer(handler)
	t.Cleanup(process.Close)
	return strings.TrimPrefix(process.URL, "http://")
}

// respond returns a handler that gives every request the same response.
func respond(status int, body string) http.HandlerFunc {
	return func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(status)
		_, _ = io.WriteString(response, body) // A disconnected caller needs no response.
	}
}

// respondJSON returns a handler that responds to every request with a value as JSON.
func respondJSON(t *testing.T, value any) http.HandlerFunc {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return respond(http.StatusOK, string(content))
}

// Each call of the client sends its documented method, path, query and body.
func TestRequestLines(t *testing.T) {
	var got string
	address := serve(t, func(response http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			t.Error(err)
		}
		got = request.Method + " " + request.RequestURI + " " + string(body)
		respond(http.StatusOK, `{"outcome":"accepted","epoch":5}`)(response, request)
	})
	client := New([]string{address})
	change := Change{Base: 3, Operation: "a b"}
	named, since := Change{Operation: "o", Epoch: 9}, uint64(4)
	for want, call := range map[string]func() (proposal.Reply, error){
		"GET /v1/spec ": client.Get,
		"PUT /v1/spec?base=3&operation=a+b {}": func() (proposal.Reply, error) {
			return client.Apply([]byte("{}"), change)
		},
		"PATCH /v1/spec?base=0&operation=o&epoch=9 {}": func() (proposal.Reply, error) {
			return client.Change([]byte("{}"), named)
		},
		"POST /v1/zones/z%20one/close?operation=o&since=4 ": func() (proposal.Reply, error) {
			return client.Zone("close", "z one", "o", &since)
		},
		"GET /v1/operations/a%20b ":    func() (proposal.Reply, error) { return client.Operation("a b") },
		"GET /v1/operations/a%2Fb ":    func() (proposal.Reply, error) { return client.Operation("a/b") },
		"GET /v1/operations/a%2F%2Fb ": func() (proposal.Reply, error) { return client.Operation("a//b") },
		"GET /v1/operations/.. ":       func() (proposal.Reply, error) { return client.Operation("..") },
	} {
		reply, err := call()
		if err != nil || reply.Epoch != 5 || got != want {
			t.Errorf("sent %q, want %q; reply %+v, error %v", got, want, reply, err)
		}
	}
}

// The client tries its nodes in order until one responds with a well-formed reply, also with a refusal.
func TestRequestsTryTheNextNode(t *testing.T) {
	malformed := serve(t, respond(http.StatusOK, "no JSON"))
	refusing := serve(t, respond(http.StatusConflict, `{"outcome":"refused","kind":"stale_base"}`))
	reply, err := New([]string{unreachable, malformed, refusing}).Get()
	if err != nil || reply.Outcome != proposal.OutcomeRefused {
		t.Errorf("reply %+v, error %v, want the refusal of the third node", reply, err)
	}
	for code, controlNodes := range map[apierror.Code][]string{
		apierror.Unreachable:     {malformed, unreachable},
		apierror.Malformed:       {unreachable, malformed},
		apierror.InvalidSettings: nil,
	} {
		if _, err := New(controlNodes).Get(); !apierror.Is(err, code) {
			t.Errorf("want an error with the code %s, got %v", code, err)
		}
	}
}

// The fleet's status lists every process that the control nodes know exactly once, also if several nodes name it.
func TestStatusFollowsViews(t *testing.T) {
	data := serve(t, respondJSON(t, daemon.Status{Address: "data"}))
	second := serve(t, respondJSON(t, server.Status{Address: "b"}))
	first := serve(t, respondJSON(t, server.Status{Address: "a", Core: node.Status{
		Chain:     []node.MemberStatus{{HTTP: second}},
		Acceptors: []node.MemberStatus{{HTTP: second}, {HTTP: unreachable}},
		Daemons:   []node.MemberStatus{{HTTP: data}},
	}}))
	fleet, err := New([]string{second, first}).Status()
	if err != nil {
		t.Fatal(err)
	}
	if len(fleet.ControlNodes) != 2 || fleet.ControlNodes[0].Address != "a" || fleet.ControlNodes[1].Address != "b" {
		t.Errorf("control nodes %+v, want a and b", fleet.ControlNodes)
	}
	if len(fleet.Daemons) != 1 || fleet.Daemons[0].Address != "data" {
		t.Errorf("daemons %+v, want one", fleet.Daemons)
	}
	if len(fleet.Unreachable) != 1 || fleet.Unreachable[0] != unreachable {
		t.Errorf("unreachable processes %v, want one", fleet.Unreachable)
	}
	if _, err := New([]string{unreachable}).Status(); !apierror.Is(err, apierror.Unreachable) {
		t.Errorf("no node responds: error %v, want the code Unreachable", err)
	}
}

// Explain forwards the headers and returns the daemon's response, or an error with the code of its refusal.
func TestExplain(t *testing.T) {
	address := serve(t, func(response http.ResponseWriter, request *http.Request) {
		switch request.Header.Get("Case") {
		case "fine":
			respond(http.StatusOK, `{"backend":"b"}`)(response, request)
		case "refused":
			respond(http.StatusNotFound, `{"kind":"unknown_route","detail":"no route"}`)(response, request)
		default:
			respond(http.StatusTeapot, "")(response, request)
		}
	})
	client := New(nil)
	content, err := client.Explain(address, map[string]string{"Case": "fine"}, nil)
	if err != nil || string(content) != `{"backend":"b"}` {
		t.Errorf("content %s, error %v", content, err)
	}
	if _, err = client.Explain(address, map[string]string{"Case": "refused"}, nil); !apierror.Is(err, "unknown_route") {
		t.Errorf("a refusal: error %v, want the code unknown_route", err)
	}
	if _, err = client.Explain(address, nil, nil); !apierror.Is(err, apierror.Unreachable) {
		t.Errorf("an unreadable response: error %v, want the code Unreachable", err)
	}
}
