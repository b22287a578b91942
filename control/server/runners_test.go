package server

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/control/proposal"
	"wardtray/coordination/registry"
	"wardtray/wire"
)

func TestListRunners(t *testing.T) {
	server := newNode(t)
	request := &fasthttp.RequestCtx{}
	server.handleListRunners(request)
	if body := string(request.Response.Body()); body != `{"runners":[]}` {
		t.Errorf("the list without a runner is %s", body)
	}
}

func TestRunnerStatus(t *testing.T) {
	runner := &wire.Runner{RunnerId: "r", Slots: 4, State: registry.Draining, Call: 7, SlowStartMilliseconds: 1500}
	want := RunnerStatus{Runner: "r", Slots: 4, State: registry.Draining, Call: 7, SlowStart: "1.5s"}
	if got := runnerStatus(runner); got != want {
		t.Errorf("warming up: %+v", got)
	}
	runner.SlowStartMilliseconds, want.SlowStart = 0, ""
	if got := runnerStatus(runner); got != want {
		t.Errorf("not warming up: %+v", got)
	}
}

func TestRunnerID(t *testing.T) {
	for path, want := range map[string]struct {
		id string
		ok bool
	}{
		"/v1/runners/r-1":    {"r-1", true},
		"/v1/runners/%C5%B5": {"ŵ", true},
		"/v1/runners/a+b":    {"a+b", true},
		"/v1/runners/a%2Fb":  {"a/b", true},
		"/v1/runners/%25C5":  {"%C5", true},
		"/v1/runners/a%zz":   {"", false},
		"/v1/runners/100%":   {"", false},
		"/elsewhere/r-1":     {"", true},
	} {
		var id string
		var err error
		routes := router.New()
		read := func(request *fasthttp.RequestCtx) { id, err = RunnerID(request) }
		routes.PUT("/v1/runners/{id}", read)
		routes.PUT("/elsewhere/r-1", read)
		request := &fasthttp.RequestCtx{}
		request.Request.Header.SetMethod(fasthttp.MethodPut)
		request.Request.SetRequestURI(path)
		routes.Handler(request)
		if id != want.id || want.ok != (err == nil) || err != nil && !apierror.Is(err, apierror.Malformed) {
			t.Errorf("%s: parsed id %q, error %v", path, id, err)
		}
	}
}

func TestWriteParseError(t *testing.T) {
	for name, test := range map[string]struct {
		err    error
		status int
		code   apierror.Code
	}{
		"malformed":                         {apierror.New(apierror.Malformed, "d"), 400, apierror.Malformed},
		"too large":                         {apierror.New(apierror.TooLarge, "d"), 413, apierror.TooLarge},
		"a code that parsing never returns": {apierror.New(apierror.DiskFailed, "d"), 500, apierror.DiskFailed},
		"an error without a code":           {errors.New("d"), 500, apierror.Internal},
	} {
		request := &fasthttp.RequestCtx{}
		WriteParseError(request, test.err)
		reply := proposal.Reply{}
		if err := json.Unmarshal(request.Response.Body(), &reply); err != nil {
			t.Errorf("%s: the response is no reply: %v", name, err)
		}
		if status := request.Response.StatusCode(); status != test.status || reply.Code != string(test.code) {
			t.Errorf("%s: status %d, code %q", name, status, reply.Code)
		}
	}
}
