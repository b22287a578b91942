package server

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/config/process"
	"wardtray/wire"
)

func TestQuestionsAreReadStrictly(t *testing.T) {
	read := func(verb, query string) (*wire.OperatorRequest, error) {
		context := &fasthttp.RequestCtx{}
		context.Request.SetRequestURI("/v1/spec?" + query)
		context.Request.SetBodyString("{}")
		return question(verb, context)
	}
	for _, verb := range []string{"apply", "change"} {
		got, err := read(verb, "base=5&epoch=9&operation=x")
		if err != nil || !got.HasBase || got.Base != 5 || !got.HasEpoch || got.Epoch != 9 || got.Operation != "x" || string(got.Spec) != "{}" {
			t.Errorf("%s: %v %v", verb, got, err)
		}
		if got, err := read(verb, "base=0"); err != nil || got.HasEpoch || !got.HasBase {
			t.Errorf("%s: %v %v", verb, got, err)
		}
		for query, path := range map[string]string{"": "base", "base=": "base", "base=x": "base", "base=-1": "base", "base=1&epoch=x": "epoch", "base=1&epoch=-2": "epoch",
			"base=1&epoch=1.5": "epoch", "base=1&operation=" + strings.Repeat("x", 129): "operation", "base=1&operation=%ff": "operation"} {
			if _, err := read(verb, query); err == nil || !strings.Contains(err.Error(), path) {
				t.Errorf("%s?%s: %v", verb, query, err)
			}
		}
	}
	if got, err := read("close", "base=3"); err != nil || got.Base != 3 || got.Spec != nil {
		t.Errorf("%v %v", got, err)
	}
}

func TestOrderWaitsNoLongerThanItsBound(t *testing.T) {
	host, err := New(&process.Settings{Folder: t.TempDir(), Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Zone: "a"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	// There is no chain and nothing ticks, so that no answer can come.
	status, reply := host.Order(&wire.OperatorRequest{Verb: "apply", HasBase: true}, time.Millisecond)
	if status != 504 || reply.Outcome != "unknown" || reply.Operation == "" {
		t.Errorf("%d %+v", status, reply)
	}
}
