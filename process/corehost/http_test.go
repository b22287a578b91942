package corehost

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/connection/wire"
	"wardtray/process/startup"
)

func TestQuestionsAreReadStrictly(test *testing.T) {
	read := func(verb, query string) (*wire.OperatorAsk, error) {
		context := &fasthttp.RequestCtx{}
		context.Request.SetRequestURI("/v1/spec?" + query)
		context.Request.SetBodyString("{}")
		return question(verb, context)
	}
	for _, verb := range []string{"apply", "change"} {
		got, failure := read(verb, "base=5&epoch=9&operation=x")
		if failure != nil || !got.HasBase || got.Base != 5 || !got.HasEpoch || got.Epoch != 9 || got.Operation != "x" || string(got.Spec) != "{}" {
			test.Errorf("%s: %v %v", verb, got, failure)
		}
		if got, failure := read(verb, "base=0"); failure != nil || got.HasEpoch || !got.HasBase {
			test.Errorf("%s: %v %v", verb, got, failure)
		}
		for query, path := range map[string]string{"": "base", "base=": "base", "base=x": "base", "base=-1": "base", "base=1&epoch=x": "epoch", "base=1&epoch=-2": "epoch",
			"base=1&epoch=1.5": "epoch", "base=1&operation=" + strings.Repeat("x", 129): "operation"} {
			if _, failure := read(verb, query); failure == nil || !strings.Contains(failure.Error(), path) {
				test.Errorf("%s?%s: %v", verb, query, failure)
			}
		}
	}
	if got, failure := read("close", "base=3"); failure != nil || got.Base != 3 || got.Spec != nil {
		test.Errorf("%v %v", got, failure)
	}
}

func TestOrderWaitsNoLongerThanItsBound(test *testing.T) {
	host, failure := New(&startup.Startup{Folder: test.TempDir(), Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Zone: "a"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if failure != nil {
		test.Fatal(failure)
	}
	// There is no chain and nothing ticks, so that no answer can come.
	status, reply := host.Order(&wire.OperatorAsk{Verb: "apply", HasBase: true}, time.Millisecond)
	if status != 504 || reply.Outcome != "unknown" || reply.Operation == "" {
		test.Errorf("%d %+v", status, reply)
	}
}
