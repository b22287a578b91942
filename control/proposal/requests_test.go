package proposal

import (
	"net/http"
	"testing"
	"time"

	"wardtray/wire"
)

func TestRequestsTick(t *testing.T) {
	t.Parallel()
	fixture := newFixture("c", "ab")
	fixture.submit(start, &wire.OperatorRequest{Verb: VerbGet})
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {resendInterval - 1, 0}, {resendInterval, 1}} {
		fixture.requests.Tick(start.Add(test.after))
		messages, _ := fixture.outbox.Drain()
		if len(messages) != test.want || test.want == 1 && messages[0].To != "a:1" {
			t.Errorf("after %v: sent %v", test.after, messages)
		}
	}
	fixture.requests.Tick(start.Add(RequestTimeout + 1))
	if fixture.status != http.StatusServiceUnavailable || fixture.reply.Outcome != OutcomeRefused {
		t.Errorf("a read that timed out: status %d, reply %+v", fixture.status, fixture.reply)
	}
}

func TestRequestsTickTimesOutAChange(t *testing.T) {
	t.Parallel()
	fixture := newFixture("c", "ab")
	fixture.submit(start, apply("o"))
	fixture.requests.Tick(start.Add(RequestTimeout + 1))
	if fixture.status != http.StatusGatewayTimeout || fixture.reply.Outcome != OutcomeUnknown ||
		fixture.requests.Counters().Unknown != 1 {
		t.Errorf("a change that timed out: status %d, reply %+v", fixture.status, fixture.reply)
	}
}

// If a change was sent to two heads, a refusal by one is not conclusive, since the other may still accept the change:
// the operator gets an unknown outcome.
func TestRequestsHandleResponse(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		heads  []string
		status uint32
		want   int
	}{
		"a refusal by the only head":       {[]string{"a"}, 409, 409},
		"a refusal by one of two":          {[]string{"a", "b"}, 409, http.StatusGatewayTimeout},
		"an acknowledgement by one of two": {[]string{"a", "b"}, 200, 200},
	} {
		fixture := newFixture("c", "ab")
		token := fixture.submit(start, apply("o"))
		for _, head := range test.heads {
			fixture.requests.open[token].recipients[head] = true
		}
		fixture.requests.HandleResponse(&wire.OperatorResponse{Token: "c/7/99", Status: 200, Body: []byte("{}")})
		if fixture.replies != 0 {
			t.Errorf("%s: a response with an unknown token was passed on", name)
		}
		response := &wire.OperatorResponse{Token: token, Status: test.status, Body: []byte("{}")}
		fixture.requests.HandleResponse(response)
		fixture.requests.HandleResponse(response)
		if fixture.status != test.want || fixture.replies != 1 {
			t.Errorf("%s: status %d, %d replies", name, fixture.status, fixture.replies)
		}
	}
}

// An abandoned read is removed; an abandoned change proceeds.
func TestRequestsAbandon(t *testing.T) {
	t.Parallel()
	fixture := newFixture("c", "ab")
	fixture.requests.Abandon(fixture.submit(start, &wire.OperatorRequest{Verb: VerbGet}))
	fixture.requests.Abandon(fixture.submit(start, apply("o")))
	if fixture.requests.Count() != 1 {
		t.Errorf("%d requests are open, want the change alone", fixture.requests.Count())
	}
}

func TestRequestsSubmitIsBounded(t *testing.T) {
	t.Parallel()
	fixture := newFixture("c", "ab")
	for range maximumRequests {
		fixture.submit(start, &wire.OperatorRequest{Verb: VerbGet})
	}
	if fixture.submit(start, &wire.OperatorRequest{Verb: VerbGet}) != "" ||
		fixture.status != http.StatusServiceUnavailable {
		t.Errorf("a request beyond the bound: status %d, reply %+v", fixture.status, fixture.reply)
	}
}
