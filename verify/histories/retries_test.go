package histories

import (
	"testing"
	"time"
)

// runAt returns a run of a request at a time, in seconds.
func runAt(request string, seconds float64) *Run {
	return &Run{
		Request: request,
		Backend: "p",
		At:      time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second))),
	}
}

func TestRetriesAreCountedWithinAWindow(t *testing.T) {
	for name, test := range map[string]struct {
		runs []*Run
		want retryCount
	}{
		"nothing": {nil, retryCount{}},
		"one request three times": {
			[]*Run{runAt("a", 0), runAt("a", 1), runAt("a", 2)},
			retryCount{retries: 2, requests: 1},
		},
		"at the end of a window": {
			[]*Run{runAt("a", 0), runAt("a", 10)},
			retryCount{retries: 1, requests: 1},
		},
		"in the next window": {
			[]*Run{runAt("a", 0), runAt("b", 0), runAt("a", 10.1)},
			retryCount{retries: 1},
		},
		"of another backend": {
			[]*Run{runAt("a", 0), {Request: "a", Backend: "q", At: time.Unix(1001, 0)}},
			retryCount{requests: 1},
		},
	} {
		if got := findRetryPeak(&History{Runs: test.runs}, "p"); got.worst != test.want {
			t.Errorf("%s: %+v instead of %+v", name, got.worst, test.want)
		}
	}
}

// A retry by a client counts as a request, not as a retry of the fleet.
func TestClientsMaySendAgain(t *testing.T) {
	history := &History{
		Runs: []*Run{runAt("a", 0), runAt("a", 5)},
		Answers: []*ClientAttempt{
			{Request: "a", Sent: runAt("a", 0).At},
			{Request: "a", Sent: runAt("a", 4).At},
		},
	}
	// If no window has retries, the first one is reported.
	if got, want := findRetryPeak(history, "p").worst, (retryCount{requests: 1}); got != want {
		t.Errorf("%+v instead of %+v", got, want)
	}
}

func TestOverIsWhatExceedsTheAllowance(t *testing.T) {
	history := &History{}
	for range 6 {
		history.Runs = append(history.Runs, runAt("a", 0))
	}
	// One request and five retries; the allowed number is RetryShare of one request plus RetryAllowance.
	if got, want := findRetryPeak(history, "p").excess, 5-RetryShare-RetryAllowance; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("%v over instead of %v", got, want)
	}
}
