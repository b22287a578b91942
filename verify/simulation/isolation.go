package simulation

import (
	"slices"
	"time"

	"wardtray/verify/histories"
)

const (
	// reconnectBound is within what time of getting back a path to the core a daemon has learned of what it missed, or
	// serves no more. The users' rule leaves it three seconds.
	reconnectBound = time.Second
	// leaseBound is how much longer than the last answer of a core machine a lease counts, with what clocks go wrong.
	leaseBound = 1200 * time.Millisecond
)

// isolation is how a data daemon stands to the core: since when it has had no path both ways to any core machine that
// runs, is not frozen and itself reaches more than half of the core; and the last such time that is over.
type isolation struct {
	since, previous, finished time.Time
	history                   *histories.Isolation
}

// isolationTracker notes for each data daemon when it lost the core and when it had it back.
type isolationTracker struct {
	world  *World
	states map[*Host]*isolation
	// hasMinority says that some core machines run, but none reaches most of them; hadMinority is when that last ended.
	hasMinority bool
	hadMinority time.Time
}

func newIsolationTracker(world *World) *isolationTracker {
	return &isolationTracker{world: world, states: map[*Host]*isolation{}}
}

// of returns how a data daemon stands to the core.
func (tracker *isolationTracker) of(host *Host) *isolation {
	if tracker.states[host] == nil {
		tracker.states[host] = &isolation{}
	}
	return tracker.states[host]
}

// refresh brings each daemon's separation from the core up to date after a change of the topology.
func (tracker *isolationTracker) refresh() {
	world := tracker.world
	if !world.topology.takeChange() {
		return
	}
	tracker.refreshMinority()
	settled := tracker.quorumCores()
	for _, host := range world.Datas() {
		tracker.set(host, !tracker.reachesAny(host, settled))
	}
}

// refreshMinority notes whether a majority of the core can agree on anything.
func (tracker *isolationTracker) refreshMinority() {
	running := tracker.runningCores()
	hasMinority := len(running) > 0 && len(tracker.thatReachMost(running)) == 0
	if tracker.hasMinority && !hasMinority {
		tracker.hadMinority = tracker.world.Now
	}
	tracker.hasMinority = hasMinority
}

// runningCores returns the core machines that run and are not frozen.
func (tracker *isolationTracker) runningCores() []*Host {
	return slices.DeleteFunc(tracker.world.Cores(), func(host *Host) bool { return !host.up || host.frozen })
}

// thatReachMost returns the running core machines that reach, with themselves, more than half of the core among some
// of its machines.
func (tracker *isolationTracker) thatReachMost(among []*Host) []*Host {
	isLinked := tracker.world.topology.linked
	return slices.DeleteFunc(tracker.runningCores(), func(host *Host) bool {
		reached := 0
		for _, other := range among {
			if other == host || isLinked(host, other) {
				reached++
			}
		}
		return 2*reached <= len(tracker.world.Cores())
	})
}

// isMinorityLeft reports whether some core machines run, but can't agree on anything, or could not a moment ago.
func (tracker *isolationTracker) isMinorityLeft() bool {
	return tracker.hasMinority ||
		!tracker.hadMinority.IsZero() && tracker.world.Now.Sub(tracker.hadMinority) <= reconnectBound
}

// quorumCores returns the running, unfrozen core machines that reach more than half of the core.
func (tracker *isolationTracker) quorumCores() []*Host {
	return tracker.thatReachMost(tracker.world.Cores())
}

// reachesAny reports whether a daemon has a path both ways to any of these core machines.
func (tracker *isolationTracker) reachesAny(host *Host, cores []*Host) bool {
	for _, core := range cores {
		if tracker.world.topology.linked(host, core) {
			return true
		}
	}
	return false
}

// set notes that a daemon has lost the core, or has it back.
func (tracker *isolationTracker) set(host *Host, apart bool) {
	world, isolation := tracker.world, tracker.of(host)
	if apart != isolation.since.IsZero() {
		return
	}
	if !apart {
		isolation.previous, isolation.finished = isolation.since, world.Now
		isolation.since = time.Time{}
		if isolation.history != nil {
			isolation.history.Until = world.Now.Add(reconnectBound)
		}
		return
	}
	isolation.since, isolation.history = world.Now, nil
	if world.Traffic != nil && world.WithoutCore > 0 {
		isolation.history = &histories.Isolation{
			Daemon: host.Address,
			From:   world.Now,
			Until:  world.Now.Add(world.WithoutCore + leaseBound),
		}
		world.Traffic.History.Isolations = append(world.Traffic.History.Isolations, isolation.history)
	}
}
