package server

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/coordination/registry"
	"wardtray/transport"
	"wardtray/verify/golden"
)

// The JSON keys in the status of a node and of its runners are stable, since operators' tools read them.
func TestStatusKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "status", golden.Marshal[Status])
	golden.CompareJSON(t, "runner-line", golden.Marshal[RunnerStatus])
}

// The names of a transport's counters are stable, since the status contains them.
func TestWireCountersKeepTheirNames(t *testing.T) {
	names := slices.Sorted(maps.Keys(transport.CounterValues(&transport.Transport{})))
	golden.Compare(t, "wire-counters.txt", strings.Join(names, "\n")+"\n")
}

// The HTTP status and the refusal of each outcome of a runner's call are stable.
func TestRegistrationStatusesStay(t *testing.T) {
	var text strings.Builder
	outcomes := []registry.Outcome{
		registry.Accepted, registry.Outdated, registry.TableFull, registry.Unreachable,
	}
	for _, outcome := range outcomes {
		status, refusal := RegistrationStatus(outcome)
		fmt.Fprintf(&text, "%s %d %s\n", outcome, status, refusal.Encode())
	}
	golden.Compare(t, "registration-statuses.txt", text.String())
}

// The HTTP status and the body of each error of parsing a call are stable.
func TestParseErrorStatusesStay(t *testing.T) {
	var text strings.Builder
	for _, kind := range []apierror.Code{apierror.Malformed, apierror.TooLarge} {
		request := &fasthttp.RequestCtx{}
		WriteParseError(request, apierror.New(kind, "detail"))
		fmt.Fprintf(&text, "%s %d %s\n", kind, request.Response.StatusCode(), request.Response.Body())
	}
	golden.Compare(t, "fault-statuses.txt", text.String())
}
