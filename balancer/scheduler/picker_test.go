package scheduler

import (
	"math/rand"
	"testing"
	"time"
)

// Equal candidates are picked at random. Otherwise all daemons would send to the same runner.
func TestSamplePicksAmongEqualsAtRandom(t *testing.T) {
	counts := map[string]int{}
	for seed := range 200 {
		fixture := newFixture(t, 6)
		fixture.Scheduler.random = rand.New(rand.NewSource(int64(seed)))
		decision, _ := fixture.schedule(fixture.request("l", 1, 1, time.Second, "x"))
		counts[decision.Runner.ID]++
	}
	for runner, count := range counts {
		if count < 10 || count > 70 {
			t.Errorf("%s of 6 runners was picked %d times of 200", runner, count)
		}
	}
	if len(counts) != 6 {
		t.Fatalf("only %d of 6 runners were picked", len(counts))
	}
}
