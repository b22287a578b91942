package dataplane

import (
	"math/rand"
	"slices"
	"testing"

	"wardtray/balancer/scheduler"
)

// Each backend has one scheduler, which is created with its own random source, and schedulers are listed in the order
// of their backends' names.
func TestSchedulerSet(t *testing.T) {
	var seeds []int64
	created := map[*scheduler.Scheduler]string{}
	set := newSchedulerSet(rand.New(rand.NewSource(1)), func(backend string, random *rand.Rand) *scheduler.Scheduler {
		seeds = append(seeds, random.Int63())
		next := &scheduler.Scheduler{}
		created[next] = backend
		return next
	})
	for _, backend := range []string{"b", "a", "b"} {
		if found := set.get(backend); created[found] != backend {
			t.Errorf("backend %s has the scheduler of backend %s", backend, created[found])
		}
	}
	if len(seeds) != 2 || seeds[0] == seeds[1] {
		t.Errorf("schedulers were created with the seeds %v, want two different ones", seeds)
	}
	var listed []string
	set.each(func(backend string, _ *scheduler.Scheduler) { listed = append(listed, backend) })
	if !slices.Equal(listed, []string{"a", "b"}) {
		t.Errorf("schedulers were listed as %v, want [a b]", listed)
	}
}
