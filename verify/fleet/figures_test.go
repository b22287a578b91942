package fleet

import (
	"reflect"
	"testing"
	"time"

	"wardtray/verify/histories"
)

func TestFiguresCountEachAnswerOnce(t *testing.T) {
	history := histories.New()
	history.Answers = []*histories.Answer{
		{Route: "chat", Done: true, First: time.Second, Status: 200},
		{Route: "chat", ConnectionLost: true, Error: true, Status: 200},
		{Route: "chat", Error: true, Kind: "run_failed", Status: 200},
		{Route: "survey", Status: 504, Kind: "outcome_unknown"},
		{Route: "survey", Status: 503, Kind: "waitlist_full"},
		{Route: "survey", Status: 503, Kind: "waitlist_full"},
	}
	history.Runs = []*histories.Run{{Request: "a"}, {Request: "b"}, {Request: "a"}, {Request: "a"}}
	want := Figures{
		Requests: 6, Done: 1, Refused: 2, Unknown: 1, Broken: 1, Lost: 1,
		Kinds:   map[string]int{"chat run_failed": 1, "survey outcome_unknown": 1, "survey waitlist_full": 2},
		First:   map[string][]time.Duration{"chat": {time.Second}},
		Retries: 2,
	}
	if figures := measure(history); !reflect.DeepEqual(figures, want) {
		t.Errorf("%+v instead of %+v", figures, want)
	}
}

func TestQuantile(t *testing.T) {
	lengths := []time.Duration{4, 1, 3, 2}
	for part, want := range map[float64]time.Duration{0: 1, 0.25: 2, 0.5: 3, 0.99: 4, 1: 4} {
		if value := quantile(lengths, part); value != want {
			t.Errorf("%v: %d instead of %d", part, value, want)
		}
	}
	if value := quantile(nil, 0.5); value != 0 {
		t.Errorf("of nothing: %d", value)
	}
	if lengths[0] != 4 {
		t.Error("the lengths were sorted in place")
	}
}
