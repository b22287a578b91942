package scheduler

import (
	"testing"
	"time"
)

// A second request with the same prefix is dispatched to the runner that has the prefix cached from the first.
func TestPrefixIsDispatchedWhereItIsCached(t *testing.T) {
	fixture := newFixture(t, 18)
	first, _ := fixture.schedule(fixture.request("l", 1, 1, time.Second, "system", "one"))
	fixture.Release(fixture.now, &QueuedRequest{Route: "l"}, first.Runner.ID)
	second, _ := fixture.schedule(fixture.request("l", 1, 1, time.Second, "system", "one"))
	if second.Runner.ID != first.Runner.ID || second.CachedTokens != 2000 {
		t.Fatalf("first %s, then %s with %d tokens cached", first.Runner.ID, second.Runner.ID, second.CachedTokens)
	}
}

// A short prompt is not dispatched to a runner that is prefilling a long prompt of this daemon, where it would miss its
// latency target.
func TestShortPromptsAvoidRunnersThatReadLongOnes(t *testing.T) {
	fixture := newFixture(t, 3)
	long := fixture.request("long", 1, 1, time.Second)
	long.Requirements.PromptTokens = 50_000
	decision, _ := fixture.schedule(long)
	busy := decision.Runner.ID
	for range 6 {
		short := fixture.request("short", 1, 1, 400*time.Millisecond)
		short.Requirements.PromptTokens = 500
		if decision, _ := fixture.schedule(short); decision.Runner.ID == busy {
			t.Fatal("a short prompt was dispatched to the runner with the long prompt")
		}
	}
}
