package dataplane

import (
	"maps"
	"math/rand"
	"slices"
	"sync"
	"time"

	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/proxy"
)

// schedulerSet holds the scheduler of each backend. Schedulers are created when they are first used and never removed.
type schedulerSet struct {
	create func(backend string, random *rand.Rand) *scheduler.Scheduler

	mutex     sync.RWMutex
	random    *rand.Rand
	byBackend map[string]*scheduler.Scheduler
}

// newSchedulerSet returns an empty set. create returns a new scheduler; the random source passed to it is seeded from
// random.
func newSchedulerSet(
	random *rand.Rand, create func(backend string, random *rand.Rand) *scheduler.Scheduler,
) *schedulerSet {
	return &schedulerSet{create: create, random: random, byBackend: map[string]*scheduler.Scheduler{}}
}

// get returns the scheduler of a backend and creates it if there is none.
func (set *schedulerSet) get(backend string) *scheduler.Scheduler {
	set.mutex.RLock()
	found := set.byBackend[backend]
	set.mutex.RUnlock()
	if found != nil {
		return found
	}
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.byBackend[backend] == nil {
		set.byBackend[backend] = set.create(backend, rand.New(rand.NewSource(set.random.Int63())))
	}
	return set.byBackend[backend]
}

// each calls a function for each scheduler, in the order of the backends' names.
func (set *schedulerSet) each(do func(backend string, scheduler *scheduler.Scheduler)) {
	set.mutex.RLock()
	names := slices.Sorted(maps.Keys(set.byBackend))
	set.mutex.RUnlock()
	for _, name := range names {
		do(name, set.get(name))
	}
}

// candidates returns a function that returns the runners from which the scheduler of a backend may choose at a time.
func (plane *Plane) candidates(backend string) func(now time.Time) scheduler.Snapshot {
	return func(now time.Time) scheduler.Snapshot {
		snapshot, daemons := plane.Snapshot(), plane.Daemons()
		if snapshot.Catalog == nil || snapshot.Catalog.Backends[backend] == nil {
			return scheduler.Snapshot{Daemons: 1}
		}
		found := snapshot.Catalog.Backends[backend]
		var permitted []load.Runner
		for _, runner := range plane.Handler.Loads.Runners(now, daemons) {
			if proxy.Permits(snapshot.Catalog, found, runner) {
				permitted = append(permitted, runner)
			}
		}
		return scheduler.Snapshot{Runners: permitted, Daemons: len(daemons), Backend: *found}
	}
}

// Schedulers calls a function for each scheduler, in the order of the backends' names.
func (plane *Plane) Schedulers(do func(backend string, scheduler *scheduler.Scheduler)) {
	plane.schedulers.each(do)
}

// Rebalance runs every scheduler that has queued requests.
func (plane *Plane) Rebalance() {
	plane.Schedulers(func(_ string, scheduler *scheduler.Scheduler) {
		if scheduler.HasQueued() {
			scheduler.Rebalance(plane.environment.Now())
		}
	})
}
