package proxy

import (
	"testing"
	"time"

	"wardtray/config"
	"wardtray/proxy/codec"
)

var arrival = time.Unix(1_700_000_000, 0)

func TestNewDeadlineIsTheEarliest(t *testing.T) {
	for name, trial := range map[string]struct {
		timeouts []time.Duration
		want     time.Duration
	}{
		"none":             {[]time.Duration{0, 0}, 0},
		"the client's":     {[]time.Duration{time.Second, 0}, time.Second},
		"the route's":      {[]time.Duration{0, time.Second}, time.Second},
		"the client first": {[]time.Duration{time.Second, time.Minute}, time.Second},
		"the route first":  {[]time.Duration{time.Minute, time.Second}, time.Second},
	} {
		if got := newDeadline(arrival, trial.timeouts...).timeout(); got != trial.want {
			t.Errorf("%s: %v, want %v", name, got, trial.want)
		}
	}
}

func TestDeadlineRemaining(t *testing.T) {
	set, none := newDeadline(arrival, time.Second), newDeadline(arrival)
	for after, want := range map[time.Duration]time.Duration{
		0:                        time.Second,
		400 * time.Millisecond:   600 * time.Millisecond,
		time.Second:              minimumRemaining,
		time.Minute:              minimumRemaining,
		time.Second - 1:          minimumRemaining,
		time.Second - time.Hour:  time.Hour,
		999500 * time.Nanosecond: 1000*time.Millisecond - 999500*time.Nanosecond,
	} {
		now := arrival.Add(after)
		if got := set.remaining(now); got != want || set.passed(now) != (after >= time.Second) {
			t.Errorf("after %v: %v remaining, want %v; passed %v", after, got, want, set.passed(now))
		}
		if none.remaining(now) != 0 || none.passed(now) {
			t.Errorf("after %v without a deadline: %v remaining", after, none.remaining(now))
		}
	}
}

func TestWaitsForFirstEvent(t *testing.T) {
	const target = 2 * time.Second
	for name, trial := range map[string]struct {
		idempotent bool
		limits     waitLimits
		earlyRetry bool
		want       time.Duration
	}{
		"once, no deadline":           {false, waitLimits{mayRetry: true}, true, 2 * target},
		"idempotent, no deadline":     {true, waitLimits{mayRetry: true}, true, target + firstEventGrace},
		"once":                        {false, waitLimits{remaining: time.Minute, mayRetry: true}, true, time.Minute},
		"idempotent, time for two":    {true, waitLimits{remaining: time.Minute, mayRetry: true}, true, time.Minute / 2},
		"idempotent, little time":     {true, waitLimits{remaining: 3 * time.Second, mayRetry: true}, true, target},
		"idempotent, hardly any time": {true, waitLimits{remaining: time.Second, mayRetry: true}, true, time.Second},
		"idempotent, last attempt":    {true, waitLimits{remaining: time.Minute}, true, time.Minute},
		"early retries are off":       {true, waitLimits{remaining: time.Minute, mayRetry: true}, false, time.Minute},
	} {
		trial.limits.route = &config.Route{Idempotent: trial.idempotent, LatencyTarget: config.Duration(target)}
		if got := trial.limits.firstEvent(trial.earlyRetry); got != trial.want {
			t.Errorf("%s: %v, want %v", name, got, trial.want)
		}
	}
}

func TestWaitsForNextEvent(t *testing.T) {
	resumable := &config.Route{Resumable: true, Pause: config.Duration(time.Second)}
	for name, trial := range map[string]struct {
		limits waitLimits
		want   time.Duration
	}{
		"no deadline":             {waitLimits{route: resumable, mayRetry: true}, idleTimeout},
		"resumable":               {waitLimits{resumable, time.Minute, true}, 2 * time.Second},
		"resumable, little time":  {waitLimits{resumable, time.Second, true}, time.Second},
		"resumable, last attempt": {waitLimits{resumable, time.Minute, false}, time.Minute},
		"not resumable":           {waitLimits{&config.Route{Pause: resumable.Pause}, time.Minute, true}, time.Minute},
		"without a pause":         {waitLimits{&config.Route{Resumable: true}, time.Minute, true}, time.Minute},
	} {
		if got := trial.limits.nextEvent(); got != trial.want {
			t.Errorf("%s: %v, want %v", name, got, trial.want)
		}
	}
}

func TestWaitsLatencyTarget(t *testing.T) {
	route := &config.Route{LatencyTarget: config.Duration(time.Second)}
	for remaining, want := range map[time.Duration]time.Duration{
		0: time.Second, time.Minute: time.Second, time.Millisecond: time.Millisecond,
	} {
		if got := (waitLimits{route: route, remaining: remaining}).latencyTarget(); got != want {
			t.Errorf("%v remaining: %v, want %v", remaining, got, want)
		}
	}
}

// A silent runner is waited for until the deadline if its request must run at most once, and the request is refused
// then. Otherwise the wait takes half of the time, so that another runner can be tried.
func TestSilentRunner(t *testing.T) {
	const text = `{"zones":[{"name":"a","closed":false}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"once","pool":"p","worth":1,"patience":"200ms","purse":1,"repeatable":false,"deadline":"700ms"},
{"name":"free","pool":"p","worth":1,"patience":"200ms","purse":1,"repeatable":true,"deadline":"2s"}]}`
	for route, want := range map[string]struct {
		status, sends int
		took          time.Duration
	}{
		"once": {504, 1, 700 * time.Millisecond},
		"free": {200, 2, time.Second},
	} {
		clock := &fakeClock{}
		connections := []*fakeConnection{
			responding(clock),
			responding(clock, delivery{0, completeResponse(codec.Finished)}),
		}
		daemon := newFakeClockDaemon(t, clock, connections...)
		daemon.snapshot = newSnapshot(t, 1, text)
		// The other runner becomes usable again before the silent one is abandoned.
		daemon.Loads.Eject(clock.now, "r1", "used later in the test")
		started := clock.now
		client := &recordingClient{disconnectedClient: disconnectedClient{route: route, body: []byte(`{"prompt":"x"}`)}}
		daemon.Serve(client)
		sends := 0
		for _, connection := range connections {
			if connection.written.Len() > 0 {
				sends++
			}
		}
		if took := clock.now.Sub(started); client.status != want.status || sends != want.sends || took != want.took {
			t.Errorf("%s: %d after %v with %d sends: %s", route, client.status, took, sends, client.content)
		}
	}
}
