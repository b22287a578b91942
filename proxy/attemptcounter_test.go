package proxy

import (
	"testing"
	"time"

	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/proxy/codec"
)

func TestAttemptCounterRemain(t *testing.T) {
	for name, trial := range map[string]struct {
		counter attemptCounter
		bound   int
		want    bool
	}{
		"none yet":                     {attemptCounter{}, 0, true},
		"one before the last":          {attemptCounter{attempts: maximumAttempts - 1, sends: maximumAttempts - 1}, 0, true},
		"all attempts":                 {attemptCounter{attempts: maximumAttempts}, 0, false},
		"the route's bound of sends":   {attemptCounter{attempts: 2, sends: 2}, 2, false},
		"attempts that were not sent":  {attemptCounter{attempts: 5, sends: 1}, 2, true},
		"all attempts, a larger bound": {attemptCounter{attempts: maximumAttempts}, 2 * maximumAttempts, false},
	} {
		if got := trial.counter.remain(&config.Route{Attempts: trial.bound}); got != trial.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// The first send needs no budget, and its request counts once. A retry without budget leaves no further attempt.
func TestAttemptCounterSpend(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := retrybudget.DefaultSettings
	settings.Ratio, settings.Slack = 0.5, 0
	locked := &lockedBudget{budget: retrybudget.New(settings, func() int { return 1 })}
	one := &attemptCounter{}
	for range 2 {
		if got := one.spend(now, locked); got != sendFirst || !one.counted {
			t.Fatalf("before the first send: %v, counted %v", got, one.counted)
		}
	}
	one.sends++
	if got := one.spend(now, locked); got != sendDenied || one.remain(&config.Route{}) {
		t.Errorf("one request allows no retry: %v, %+v", got, one)
	}
	for range 40 {
		(&attemptCounter{}).spend(now, locked)
	}
	other := &attemptCounter{attempts: 1, sends: 1, counted: true}
	if got := other.spend(now, locked); got != sendRetry || !other.remain(&config.Route{}) {
		t.Errorf("40 requests allow a retry: %v, %+v", got, other)
	}
}

// A request that may have reached a runner is only retried out of the retry budget: for each outcome of an attempt that
// allows a retry, on each kind of route, the next send is counted as a retry and is not made without budget.
func TestRetriesSpendTheBudget(t *testing.T) {
	retried := 0
	for _, outcome := range []scheduler.AttemptOutcome{
		scheduler.NotSent, scheduler.NotExecuted, scheduler.Ambiguous, scheduler.Broken,
	} {
		for _, route := range []string{"once", "free", "resumed"} {
			for _, hasBudget := range []bool{true, false} {
				if testRetry(t, outcome, route, hasBudget) {
					retried++
				}
			}
		}
	}
	// NotSent and NotExecuted on three routes, Ambiguous on the two idempotent ones, Broken on the resumable one.
	if want := 2 * (3 + 3 + 2 + 1); retried != want {
		t.Errorf("%d retries were allowed, want %d", retried, want)
	}
}

// testRetry tests one further attempt after an attempt with the given outcome and reports whether that attempt is
// allowed.
func testRetry(t *testing.T, outcome scheduler.AttemptOutcome, route string, hasBudget bool) bool {
	t.Helper()
	responses := map[scheduler.AttemptOutcome][]delivery{
		scheduler.NotExecuted: {{0, completeResponse(codec.NotExecuted)}},
		scheduler.Ambiguous:   {{0, completeResponse(codec.Unclear)}},
		scheduler.Broken:      {{0, streamed(tokenEvents("x", 1, 1))}},
	}
	clock := &fakeClock{}
	second := responding(clock, delivery{0, completeResponse(codec.Finished)})
	daemon := newFakeClockDaemon(t, clock, responding(clock, responses[outcome]...), second)
	first := newFakeClockAttempt(daemon, route)
	if !first.exchange.decideRetry(outcome).Retry {
		return false
	}
	wantOutcome(t, first, outcome)
	if !hasBudget {
		daemon.budgets.Clear()
	}
	again := &attempt{exchange: first.exchange, decision: first.decision}
	again.decision.Runner = load.Runner{ID: "r1", Address: "127.0.0.1:1"}
	again.execute()
	reached := outcome != scheduler.NotSent
	if sent := second.written.Len() > 0; sent != (hasBudget || !reached) {
		t.Errorf("%s, %s, budget %v: sent again %v", outcome, route, hasBudget, sent)
	}
	if counted := daemon.Metrics.Routes()[route].Retries == 1; counted != (hasBudget && reached) {
		t.Errorf("%s, %s, budget %v: counted as a retry %v", outcome, route, hasBudget, counted)
	}
	return true
}

// wantOutcome executes an attempt that must have the given outcome, and prepares its exchange for the next attempt. For
// NotSent the runner can't be dialed; for Broken the stream breaks after its first event.
func wantOutcome(t *testing.T, first *attempt, want scheduler.AttemptOutcome) {
	t.Helper()
	if want == scheduler.NotSent {
		first.decision.Runner.Address = "127.0.0.1:9"
	}
	got := first.execute()
	if got == responseReady && want == scheduler.Broken {
		got = want
	}
	if got != want {
		t.Fatalf("outcome %q, want %q", got, want)
	}
	first.release()
	first.exchange.state.to(stateScheduling)
	first.exchange.state.to(stateConnecting)
}

// Guards against more sends than a route allows: those of a second attempt count for the request, whether it delivers
// or not. That the retry budget denied it a send must not keep the request from being sent again later.
func TestSecondAttemptCounts(t *testing.T) {
	route := &config.Route{Attempts: 2}
	for name, trial := range map[string]struct {
		hedged attemptCounter
		remain bool
	}{
		"sent":   {attemptCounter{attempts: 2, sends: 2}, false},
		"denied": {attemptCounter{attempts: maximumAttempts, sends: 1}, true},
	} {
		counter := attemptCounter{attempts: 1, sends: 1}
		counter.add(&trial.hedged)
		if remain := counter.remain(route); remain != trial.remain || counter.attempts != 2 {
			t.Errorf("%s: %d attempts, another one is allowed: %v", name, counter.attempts, remain)
		}
	}
}
