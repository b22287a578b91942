package fleet

import (
	"reflect"
	"testing"
	"time"

	"wardtray/verify/histories"
)

func TestStatisticsCountEachAnswerOnce(t *testing.T) {
	history := histories.New()
	history.Answers = []*histories.ClientAttempt{
		{Route: "chat", Done: true, First: time.Second, Status: 200},
		{Route: "chat", ConnectionLost: true, Error: true, Status: 200},
		{Route: "chat", Error: true, Kind: "run_failed", Status: 200},
		{Route: "survey", Status: 504, Kind: "outcome_unknown"},
		{Route: "survey", Status: 503, Kind: "waitlist_full"},
		{Route: "survey", Status: 503, Kind: "waitlist_full"},
	}
	history.Runs = []*histories.Run{{Request: "a"}, {Request: "b"}, {Request: "a"}, {Request: "a"}}
	want := Statistics{
		Requests: 6, Done: 1, Refused: 2, Unknown: 1, Broken: 1, Lost: 1,
		ErrorCodes:      map[string]int{"chat run_failed": 1, "survey outcome_unknown": 1, "survey waitlist_full": 2},
		FirstEventTimes: map[string][]time.Duration{"chat": {time.Second}},
		Retries:         2,
	}
	if statistics := newStatistics(history); !reflect.DeepEqual(statistics, want) {
		t.Errorf("statistics %+v instead of %+v", statistics, want)
	}
}

func TestQuantile(t *testing.T) {
	durations := []time.Duration{4, 1, 3, 2}
	for fraction, want := range map[float64]time.Duration{0: 1, 0.25: 2, 0.5: 3, 0.99: 4, 1: 4} {
		if value := quantile(durations, fraction); value != want {
			t.Errorf("quantile %v: %d instead of %d", fraction, value, want)
		}
	}
	if value := quantile(nil, 0.5); value != 0 {
		t.Errorf("quantile of no durations: %d", value)
	}
	if durations[0] != 4 {
		t.Error("quantile sorted its argument in place")
	}
}
