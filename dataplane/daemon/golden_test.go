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

// What operators read of a data daemon keeps its keys.
func TestStatusKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "status", golden.Marshal[Status])
}

// The counters that a status holds by name keep their names.
func TestCountersKeepTheirNames(t *testing.T) {
	settings := &process.Settings{Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Readiness: "127.0.0.1:3", Zone: "zone",
		Registered: true, Seeds: []string{"127.0.0.1:1"}}
	host, err := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	context := &fasthttp.RequestCtx{}
	host.status(context)
	told := Status{}
	if err := json.Unmarshal(context.Response.Body(), &told); err != nil {
		t.Fatalf("%v: %s", err, context.Response.Body())
	}
	var lines strings.Builder
	for _, name := range slices.Sorted(maps.Keys(told.Index)) {
		fmt.Fprintf(&lines, "index.%s\n", name)
	}
	for _, name := range slices.Sorted(maps.Keys(told.Links)) {
		fmt.Fprintf(&lines, "links.%s\n", name)
	}
	for _, name := range slices.Sorted(maps.Keys(told.Wire)) {
		fmt.Fprintf(&lines, "wire.%s\n", name)
	}
	golden.Compare(t, "counters.txt", lines.String())
}
