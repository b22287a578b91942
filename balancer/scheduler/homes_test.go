package scheduler

import (
	"math/rand"
	"testing"
	"time"
	"wardtray/balancer/load"
)

// The first runners of the keys in rendezvous order are spread evenly over all runners, and removing a runner moves
// only the keys whose first runner it was. Otherwise a lost runner would invalidate the caches of the others.
func TestHomesAreAgreedAndStable(t *testing.T) {
	runners, firsts, moved := fleetOf(20), map[string]int{}, 0
	without := append(append([]load.Runner{}, runners[:7]...), runners[8:]...)
	for key := range uint64(2000) {
		first := rendezvousOrder(runners, key*0x9e3779b97f4a7c15)[0]
		firsts[first]++
		if after := rendezvousOrder(without, key*0x9e3779b97f4a7c15)[0]; after != first {
			moved++
			if first != "r007" {
				t.Fatalf("key %d moved from %s to %s", key, first, after)
			}
		}
	}
	for runner, count := range firsts {
		if count < 60 || count > 145 {
			t.Errorf("%s is the first runner of %d of 2000 keys", runner, count)
		}
	}
	if moved != firsts["r007"] {
		t.Errorf("%d keys moved, but r007 was the first runner of %d", moved, firsts["r007"])
	}
}

// Daemons that have exchanged no messages send a prefix to the same runner. Otherwise each of them would have the
// prefix computed again at another runner.
func TestDaemonsAgreeOnHomesWithoutAMessage(t *testing.T) {
	chosen := map[string]int{}
	for daemon := range 8 {
		fixture := newFixture(t, 18)
		fixture.Scheduler.random = rand.New(rand.NewSource(int64(daemon)))
		fixture.Scheduler.forecast.firstEvents = warmedUpEvents
		snapshot := fixture.Scheduler.snapshot
		fixture.Scheduler.snapshot = func(now time.Time) Snapshot {
			changed := snapshot(now)
			changed.Daemons = 4
			return changed
		}
		request := fixture.request("l", 1, 1, time.Second, "system", "family", "own")
		decision, _ := fixture.schedule(request)
		chosen[decision.Runner.ID]++
	}
	if len(chosen) != 1 {
		t.Fatalf("the daemons chose different runners: %v", chosen)
	}
}
