package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"wardtray/config/process"
	"wardtray/verify/golden"
)

// The JSON keys of a data daemon's status, which operators' tools read, must not change.
func TestStatusKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "status", golden.Marshal[Status])
}

// The names of the counters in the maps of a status must not change.
func TestCountersKeepTheirNames(t *testing.T) {
	settings := &process.Settings{Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Readiness: "127.0.0.1:3", Zone: "zone",
		Registered: true, Seeds: []string{"127.0.0.1:1"}}
	daemon, err := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	request := &fasthttp.RequestCtx{}
	daemon.status(request)
	returned := Status{}
	if err := json.Unmarshal(request.Response.Body(), &returned); err != nil {
		t.Fatalf("%v: %s", err, request.Response.Body())
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(returned.Index)) {
		fmt.Fprintf(&text, "index.%s\n", name)
	}
	for _, name := range slices.Sorted(maps.Keys(returned.Links)) {
		fmt.Fprintf(&text, "links.%s\n", name)
	}
	for _, name := range slices.Sorted(maps.Keys(returned.Wire)) {
		fmt.Fprintf(&text, "wire.%s\n", name)
	}
	golden.Compare(t, "counters.txt", text.String())
}
