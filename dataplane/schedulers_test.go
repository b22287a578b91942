package dataplane

import (
	"math/rand"
	"slices"
	"testing"

	"wardtray/balancer/scheduler"
)

// Each backend has one scheduler, created with a random source of its own, and they are listed in order.
func TestSchedulerSet(t *testing.T) {
	var seeds []int64
	created := map[*scheduler.Scheduler]string{}
	set := newSchedulerSet(rand.New(rand.NewSource(1)), func(backend string, random *rand.Rand) *scheduler.Scheduler {
		seeds = append(seeds, random.Int63())
		made := &scheduler.Scheduler{}
		created[made] = backend
		return made
	})
	for _, backend := range []string{"b", "a", "b"} {
		if found := set.get(backend); created[found] != backend {
			t.Errorf("%s has the scheduler of %s", backend, created[found])
		}
	}
	if len(seeds) != 2 || seeds[0] == seeds[1] {
		t.Errorf("created with %v", seeds)
	}
	var listed []string
	set.each(func(backend string, _ *scheduler.Scheduler) { listed = append(listed, backend) })
	if !slices.Equal(listed, []string{"a", "b"}) {
		t.Errorf("listed %v", listed)
	}
}
