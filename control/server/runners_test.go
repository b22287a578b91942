package server

import (
	"testing"

	"github.com/valyala/fasthttp"

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
