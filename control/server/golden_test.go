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

// What operators read of a node and of its runners keeps its keys.
func TestStatusKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "status", golden.Marshal[Status])
	golden.CompareJSON(t, "runner-line", golden.Marshal[RunnerStatus])
}

// The counters of a transport keep their names.
func TestWireCountersKeepTheirNames(t *testing.T) {
	names := slices.Sorted(maps.Keys(transport.CounterValues(&transport.Transport{})))
	golden.Compare(t, "wire-counters.txt", strings.Join(names, "\n")+"\n")
}

// Each outcome of a runner's call keeps its HTTP status and its refusal.
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

// Each error of reading a call keeps its HTTP status and its text.
func TestParseErrorStatusesStay(t *testing.T) {
	var text strings.Builder
	for _, kind := range []apierror.Code{apierror.Malformed, apierror.TooLarge} {
		request := &fasthttp.RequestCtx{}
		WriteParseError(request, apierror.New(kind, "detail"))
		fmt.Fprintf(&text, "%s %d %s\n", kind, request.Response.StatusCode(), request.Response.Body())
	}
	golden.Compare(t, "fault-statuses.txt", text.String())
}
