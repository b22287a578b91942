package server

import (
	"encoding/json"
	"errors"
	"testing"

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
		t.Errorf("no runner: %s", body)
	}
}

func TestRunnerStatus(t *testing.T) {
	runner := &wire.Runner{RunnerId: "r", Slots: 4, State: registry.Draining, Call: 7, SlowStartMilliseconds: 1500}
	want := RunnerStatus{Runner: "r", Slots: 4, State: registry.Draining, Call: 7, SlowStart: "1.5s"}
	if got := runnerStatus(runner); got != want {
		t.Errorf("%+v", got)
	}
	runner.SlowStartMilliseconds, want.SlowStart = 0, ""
	if got := runnerStatus(runner); got != want {
		t.Errorf("not warming up: %+v", got)
	}
}

func TestWriteParseError(t *testing.T) {
	for name, test := range map[string]struct {
		err    error
		status int
		code   apierror.Code
	}{
		"malformed":                   {apierror.New(apierror.Malformed, "d"), 400, apierror.Malformed},
		"too large":                   {apierror.New(apierror.TooLarge, "d"), 413, apierror.TooLarge},
		"a code that parsing has not": {apierror.New(apierror.DiskFailed, "d"), 500, apierror.DiskFailed},
		"an error without a code":     {errors.New("d"), 500, apierror.Internal},
	} {
		request := &fasthttp.RequestCtx{}
		WriteParseError(request, test.err)
		reply := proposal.Reply{}
		if err := json.Unmarshal(request.Response.Body(), &reply); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if status := request.Response.StatusCode(); status != test.status || reply.Code != string(test.code) {
			t.Errorf("%s: status %d, code %q", name, status, reply.Code)
		}
	}
}
