package histories

import (
	"testing"
	"time"
)

// sent is a run of a request so many seconds after the begin.
func sent(request string, seconds float64) *Run {
	return &Run{
		Request: request,
		Pool:    "p",
		At:      time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second))),
	}
}

func TestRetriesAreCountedWithinAWindow(t *testing.T) {
	for name, trial := range map[string]struct {
		runs []*Run
		want retryCount
	}{
		"nothing": {nil, retryCount{}},
		"one request three times": {
			[]*Run{sent("a", 0), sent("a", 1), sent("a", 2)},
			retryCount{retries: 2, requests: 1},
		},
		"at the end of a window": {
			[]*Run{sent("a", 0), sent("a", 10)},
			retryCount{retries: 1, requests: 1},
		},
		"in the next window": {
			[]*Run{sent("a", 0), sent("b", 0), sent("a", 10.1)},
			retryCount{retries: 1},
		},
		"of another backend": {
			[]*Run{sent("a", 0), {Request: "a", Pool: "q", At: time.Unix(1001, 0)}},
			retryCount{requests: 1},
		},
	} {
		if got := findRetryPeak(&History{Runs: trial.runs}, "p"); got.worst != trial.want {
			t.Errorf("%s: %+v instead of %+v", name, got.worst, trial.want)
		}
	}
}

// What a client sends again is a request of its own.
func TestClientsMaySendAgain(t *testing.T) {
	history := &History{
		Runs: []*Run{sent("a", 0), sent("a", 5)},
		Answers: []*Answer{
			{Request: "a", Sent: sent("a", 0).At},
			{Request: "a", Sent: sent("a", 4).At},
		},
	}
	// Of windows without retries, the first is the worst.
	if got, want := findRetryPeak(history, "p").worst, (retryCount{requests: 1}); got != want {
		t.Errorf("%+v instead of %+v", got, want)
	}
}

func TestOverIsWhatExceedsTheAllowance(t *testing.T) {
	history := &History{}
	for range 6 {
		history.Runs = append(history.Runs, sent("a", 0))
	}
	// One request and five retries, of which a fifth of one and three are allowed.
	if got, want := findRetryPeak(history, "p").over, 5-RetryShare-RetryAllowance; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("%v over instead of %v", got, want)
	}
}
