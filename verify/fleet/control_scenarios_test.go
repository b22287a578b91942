package fleet

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wardtray/config/process"
	"wardtray/verify/histories"
)

// A refused change is followed by another one until one is accepted, each with its own operation ID, since the final
// state maps operation IDs to outcomes.
func TestChangeUntilAccepted(t *testing.T) {
	changes := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body := `{"outcome":"found","epoch":1}`
		if request.Method == http.MethodPut {
			changes++
			body = `{"outcome":"refused"}`
			if changes == 3 {
				body = `{"outcome":"accepted","epoch":2}`
			}
		}
		_, _ = writer.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	run := newTestRun(time.Second)
	run.Operator = newOperator(run.History)
	settings := process.Settings{HTTP: strings.TrimPrefix(server.URL, "http://")}
	run.Machines = []*Machine{{Core: &Process{Settings: settings}}}
	if err := changeUntilAccepted(t.Context(), run); err != nil {
		t.Fatal(err)
	}
	operations := map[string]bool{}
	for _, order := range run.History.Orders {
		operations[order.Operation] = true
	}
	if len(run.History.Orders) != 3 || len(operations) != 3 {
		t.Errorf("%d changes with the operation IDs %v", len(run.History.Orders), operations)
	}
}

func TestNotAcceptedErrorIsFoundBesideItsCause(t *testing.T) {
	request := &histories.OperatorRequest{Operation: "last", HTTPStatus: 503, Outcome: "refused", Epoch: 2, Base: 1}
	err := errors.Join(ErrTimeout, &NotAcceptedError{request})
	var notAccepted *NotAcceptedError
	if !errors.Is(err, ErrTimeout) || !errors.As(err, &notAccepted) || notAccepted.Order != request {
		t.Errorf("error %v, want a timeout with the order that was not accepted", err)
	}
	want := `the change "last" was not accepted: status 503, outcome "refused", epoch 2, on epoch 1`
	if notAccepted.Error() != want {
		t.Errorf("error text %q instead of %q", notAccepted, want)
	}
}
