package server

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/control/proposal"
	"wardtray/wire"
)

func TestParseOperatorRequest(t *testing.T) {
	read := func(verb, query string) (*wire.OperatorRequest, error) {
		request := &fasthttp.RequestCtx{}
		request.Request.SetRequestURI("/v1/spec?" + query)
		request.Request.SetBodyString("{}")
		return parseOperatorRequest(verb, request)
	}
	// Maps each malformed query to the field that the error must name.
	malformed := map[string]string{
		"":               "base",
		"base=":          "base",
		"base=x":         "base",
		"base=-1":        "base",
		"base=1&epoch=x": "epoch", "base=1&epoch=-2": "epoch", "base=1&epoch=1.5": "epoch",
		"base=1&operation=" + strings.Repeat("x", 129): "operation",
		"base=1&operation=%ff":                         "operation",
	}
	for _, verb := range []string{proposal.VerbApply, proposal.VerbChange} {
		got, err := read(verb, "base=5&epoch=9&operation=x")
		if err != nil || !got.HasBase || got.Base != 5 || !got.HasEpoch || got.Epoch != 9 {
			t.Errorf("%s with base and epoch: parsed %v, error %v", verb, got, err)
		}
		if got.GetOperation() != "x" || string(got.GetSpec()) != "{}" {
			t.Errorf("%s: operation or body is wrong: %v", verb, got)
		}
		if got, err := read(verb, "base=0"); err != nil || got.HasEpoch || !got.HasBase {
			t.Errorf("%s with base 0: parsed %v, error %v", verb, got, err)
		}
		for query, field := range malformed {
			if _, err := read(verb, query); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s?%s: error %v does not name the malformed field", verb, query, err)
			}
		}
	}
	if got, err := read("close", "base=3"); err != nil || got.Base != 3 || got.Spec != nil {
		t.Errorf("close: parsed %v, error %v", got, err)
	}
}

func TestExecuteTimesOut(t *testing.T) {
	// The node has no chain and gets no ticks, so there is never a response.
	server := newNode(t)
	request := &wire.OperatorRequest{Verb: proposal.VerbApply, HasBase: true}
	status, reply := server.Execute(request, time.Millisecond)
	if status != 504 || reply.Outcome != proposal.OutcomeUnknown || reply.Operation == "" {
		t.Errorf("status %d, reply %+v", status, reply)
	}
}

// An operation is looked up by the id of its change, escaped as one segment of the path: every id must survive the
// escaping, also with slashes and dots.
func TestParseOperationPath(t *testing.T) {
	var got *wire.OperatorRequest
	var err error
	routes := router.New()
	routes.GET(pathOperation, func(request *fasthttp.RequestCtx) {
		got, err = parseOperatorRequest(proposal.VerbOperation, request)
	})
	ids := []string{"a", "a b", "a+b", "a/b", "/", "a//b", ".", "..", "a/../b", "a%2Fb", "100%", "ŵ", "a?b#c"}
	for _, id := range ids {
		got, err = nil, nil
		request := &fasthttp.RequestCtx{}
		request.Request.SetRequestURI("/v1/operations/" + url.PathEscape(id))
		routes.Handler(request)
		if err != nil || got.GetOperation() != id {
			t.Errorf("id %q: parsed %q, error %v", id, got.GetOperation(), err)
		}
	}
	request := &fasthttp.RequestCtx{}
	request.Request.SetRequestURI("/v1/operations/a%zz")
	if routes.Handler(request); !apierror.Is(err, apierror.Malformed) {
		t.Errorf("a malformed escape: error %v, want the code Malformed", err)
	}
}
