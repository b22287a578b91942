package placement

import (
	"testing"
	"time"
)

func TestUpdateChangesTheRouteAndAll(t *testing.T) {
	outcomes := byRoute[SlotResult]{allRoutes: {}, "chat": {}, "survey": {}}
	outcomes.update("chat", func(result *SlotResult) { result.Requests += 2 })
	outcomes.update("survey", func(result *SlotResult) { result.Requests++ })
	for route, want := range map[string]int{allRoutes: 3, "chat": 2, "survey": 1} {
		if got := outcomes[route].Requests; got != want {
			t.Errorf("%s: %d requests, want %d", routeTitle(route), got, want)
		}
	}
}

func TestQuantile(t *testing.T) {
	for _, trial := range []struct {
		latencies []time.Duration
		fraction  float64
		want      time.Duration
	}{
		{nil, 0.5, 0},
		{[]time.Duration{7}, 0.99, 7},
		{[]time.Duration{4, 1, 3, 2}, 0, 1},
		{[]time.Duration{4, 1, 3, 2}, 0.5, 3},
		{[]time.Duration{4, 1, 3, 2}, 1, 4},
	} {
		if got := quantile(trial.latencies, trial.fraction); got != trial.want {
			t.Errorf("quantile %[2]v of %[1]v: %[3]v, want %[4]v", trial.latencies, trial.fraction, got, trial.want)
		}
	}
}

func TestRatioOfNothing(t *testing.T) {
	if got := ratio(0, 0); got != 0 {
		t.Errorf("ratio of 0 to 0: %v, want 0", got)
	}
	if got := ratio(1, 4); got != 0.25 {
		t.Errorf("ratio of 1 to 4: %v, want 0.25", got)
	}
}
