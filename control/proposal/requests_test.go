package proposal

import (
	"net/http"
	"testing"
	"time"

	"wardtray/wire"
)

func TestRequestsTick(t *testing.T) {
	t.Parallel()
	bench := newBench("c", "ab")
	bench.submit(start, &wire.OperatorRequest{Verb: VerbGet})
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {resendInterval - 1, 0}, {resendInterval, 1}} {
		bench.requests.Tick(start.Add(test.after))
		messages, _ := bench.outbox.Drain()
		if len(messages) != test.want || test.want == 1 && messages[0].To != "a:1" {
			t.Errorf("after %v: %v", test.after, messages)
		}
	}
	bench.requests.Tick(start.Add(RequestTimeout + 1))
	if bench.status != http.StatusServiceUnavailable || bench.reply.Outcome != OutcomeRefused {
		t.Errorf("%d %+v", bench.status, bench.reply)
	}
}

func TestRequestsTickTimesOutAChange(t *testing.T) {
	t.Parallel()
	bench := newBench("c", "ab")
	bench.submit(start, apply("o"))
	bench.requests.Tick(start.Add(RequestTimeout + 1))
	if bench.status != http.StatusGatewayTimeout || bench.reply.Outcome != OutcomeUnknown ||
		bench.requests.Counters().Unknown != 1 {
		t.Errorf("%d %+v", bench.status, bench.reply)
	}
}

func TestRequestsHandleResponse(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		heads  []string
		status uint32
		want   int
	}{
		"a refusal by the only head": {[]string{"a"}, 409, 409},
		"a refusal by one of two":    {[]string{"a", "b"}, 409, http.StatusGatewayTimeout},
		"an acknowledgement by one":  {[]string{"a", "b"}, 200, 200},
	} {
		bench := newBench("c", "ab")
		token := bench.submit(start, apply("o"))
		for _, head := range test.heads {
			bench.requests.open[token].recipients[head] = true
		}
		bench.requests.HandleResponse(&wire.OperatorResponse{Token: "c/7/99", Status: 200, Body: []byte("{}")})
		if bench.replies != 0 {
			t.Errorf("%s: a response to another request", name)
		}
		response := &wire.OperatorResponse{Token: token, Status: test.status, Body: []byte("{}")}
		bench.requests.HandleResponse(response)
		bench.requests.HandleResponse(response)
		if bench.status != test.want || bench.replies != 1 {
			t.Errorf("%s: %d, %d replies", name, bench.status, bench.replies)
		}
	}
}

func TestRequestsAbandon(t *testing.T) {
	t.Parallel()
	bench := newBench("c", "ab")
	bench.requests.Abandon(bench.submit(start, &wire.OperatorRequest{Verb: VerbGet}))
	bench.requests.Abandon(bench.submit(start, apply("o")))
	if bench.requests.Count() != 1 {
		t.Errorf("%d are open", bench.requests.Count())
	}
}

func TestRequestsSubmitIsBounded(t *testing.T) {
	t.Parallel()
	bench := newBench("c", "ab")
	for range maximumRequests {
		bench.submit(start, &wire.OperatorRequest{Verb: VerbGet})
	}
	if bench.submit(start, &wire.OperatorRequest{Verb: VerbGet}) != "" || bench.status != http.StatusServiceUnavailable {
		t.Errorf("%d %+v", bench.status, bench.reply)
	}
}
