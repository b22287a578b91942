package fleet

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"wardtray/config/process"
	"wardtray/control/proposal"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// fakeCore is an HTTP handler that returns prepared responses and records the request bodies, by method and URI.
type fakeCore struct {
	responses map[string]fakeResponse
	bodies    map[string]string
}

type fakeResponse struct {
	status int
	body   string
}

func (core *fakeCore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	key := request.Method + " " + request.URL.RequestURI()
	body, _ := io.ReadAll(request.Body)
	core.bodies[key] = string(body)
	response, known := core.responses[key]
	if !known {
		response = fakeResponse{http.StatusNotFound, "{}"}
	}
	writer.WriteHeader(response.status)
	_, _ = io.WriteString(writer, response.body)
}

// serveCore serves a fakeCore until the test ends and returns a process with its address.
func serveCore(t *testing.T, responses map[string]fakeResponse) (*Process, *fakeCore) {
	t.Helper()
	core := &fakeCore{responses: responses, bodies: map[string]string{}}
	server := httptest.NewServer(core)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return &Process{Name: "core", Settings: process.Settings{HTTP: address}}, core
}

func TestOperatorReads(t *testing.T) {
	core, _ := serveCore(t, map[string]fakeResponse{
		"GET /v1/spec":              {200, `{"outcome":"found","epoch":3,"spec":{}}`},
		"GET /v1/operations/first":  {200, `{"outcome":"accepted","epoch":1}`},
		"GET /v1/operations/broken": {200, `<html>`},
	})
	operator := newOperator(histories.New())
	if reply, err := operator.Get(t.Context(), core); err != nil || reply.Epoch != 3 || string(reply.Spec) != "{}" {
		t.Errorf("reply %+v, error %v", reply, err)
	}
	if reply, err := operator.Outcome(t.Context(), core, "first"); err != nil || reply.Epoch != 1 {
		t.Errorf("reply %+v, error %v", reply, err)
	}
	var status *StatusError
	if _, err := operator.Outcome(t.Context(), core, "other"); !errors.As(err, &status) || status.Status != 404 {
		t.Errorf("outcome of an unknown operation: %v", err)
	}
	if _, err := operator.Outcome(t.Context(), core, "broken"); err == nil || errors.As(err, &status) {
		t.Errorf("reply that is not JSON: %v", err)
	}
}

func TestOperatorRecordsChanges(t *testing.T) {
	const apply = "PUT /v1/spec?base=2&operation=a+b"
	core, fake := serveCore(t, map[string]fakeResponse{
		apply:                                    {200, `{"outcome":"accepted","epoch":3}`},
		"POST /v1/zones/south/close?operation=c": {409, `{"outcome":"refused","epoch":3}`},
	})
	history := histories.New()
	operator := newOperator(history)
	request := &histories.OperatorRequest{Operation: "a b", Base: 2, Spec: loadtest.Guild.Spec([]string{"a"})}
	operator.Apply(t.Context(), core, request)
	operator.Zone(t.Context(), core, "c", proposal.VerbClose, "south")
	core.Settings.HTTP = "127.0.0.1:1"
	operator.Zone(t.Context(), core, "d", proposal.VerbOpen, "south")
	type result struct {
		verb, outcome string
		status        int
		epoch         uint64
		hasBase       bool
	}
	want := []result{
		{"apply", "accepted", 200, 3, true},
		{"close", "refused", 409, 3, false},
		{"open", "unknown", 0, 0, false},
	}
	for number, request := range history.Orders {
		if got := (result{request.Verb, request.Outcome, request.HTTPStatus,
			request.Epoch, request.HasBase}); got != want[number] {
			t.Errorf("%s: order %+v instead of %+v", request.Operation, got, want[number])
		}
		if request.Sent.IsZero() || request.Got.Before(request.Sent) {
			t.Errorf("%s: sent %v, got %v", request.Operation, request.Sent, request.Got)
		}
	}
	if len(history.Orders) != len(want) || history.Orders[0] != request {
		t.Errorf("%d orders are recorded", len(history.Orders))
	}
	if body := fake.bodies[apply]; body != string(request.Spec.Encode()) {
		t.Errorf("applied %s", body)
	}
}

// The final state has all routes and known outcomes. The check of refused changes needs the routes to find the marker
// route of a change that was refused but took effect.
func TestFinalStateHasRoutesAndOutcomes(t *testing.T) {
	spec := string(loadtest.Guild.Spec([]string{"a"}, "extra-lane").Encode())
	core, _ := serveCore(t, map[string]fakeResponse{
		"GET /v1/spec":             {200, `{"outcome":"found","epoch":3,"spec":` + spec + `}`},
		"GET /v1/operations/first": {200, `{"outcome":"accepted","epoch":1}`},
	})
	history := histories.New()
	history.Orders = []*histories.OperatorRequest{{Operation: "first"}, {Operation: "lost"}}
	final, err := newOperator(history).FinalState(t.Context(), core)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"survey", "chat", "confirm", "extra-lane"}
	if !final.WasRead || final.Epoch != 3 || !slices.Equal(final.Routes, want) {
		t.Errorf("final state %+v", final)
	}
	if len(final.Known) != 1 || final.Known["first"] != 1 {
		t.Errorf("known operations %v", final.Known)
	}
}

// An unreadable reply makes FinalState fail: an incomplete final state would let the rules miss lost changes.
func TestFinalStateFailsWhereAnAnswerIsMissing(t *testing.T) {
	history := histories.New()
	history.Orders = []*histories.OperatorRequest{{Operation: "first"}}
	found := fakeResponse{200, `{"outcome":"found","epoch":3,"spec":{}}`}
	for name, responses := range map[string]map[string]fakeResponse{
		"no configuration":           {},
		"no configuration as such":   {"GET /v1/spec": {200, `{"spec":[]}`}},
		"an outcome that is no JSON": {"GET /v1/spec": found, "GET /v1/operations/first": {200, "x"}},
	} {
		core, _ := serveCore(t, responses)
		if final, err := newOperator(history).FinalState(t.Context(), core); err == nil {
			t.Errorf("%s: final state %+v and no error", name, final)
		}
	}
}
