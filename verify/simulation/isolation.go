package simulation

import (
	"slices"
	"time"

	"wardtray/verify/histories"
)

const (
	// reconnectBound is the time within which a daemon that regains a path to the control machines has learned of the
	// changes that it missed, or stops serving. The users' rule allows three seconds.
	reconnectBound = time.Second
	// leaseBound is the longest time that a lease outlives the last answer of a control machine, clock drift included.
	leaseBound = 1200 * time.Millisecond
)

// isolation is the state of a data daemon's isolation from the control machines. A daemon is isolated while it has no
// path both ways to any running, unfrozen control machine that itself reaches a majority of them. since is the start of
// the current isolation, previous and finished are the start and the end of the last one that is over.
type isolation struct {
	since, previous, finished time.Time
	history                   *histories.Isolation
}

// isolationTracker records for each data daemon when it lost the control machines and when it regained them.
type isolationTracker struct {
	world  *World
	states map[*Host]*isolation
	// hasOnlyMinority means that some control machines run, but none reaches a majority; minorityEndedAt is the time at
	// which that state last ended.
	hasOnlyMinority bool
	minorityEndedAt time.Time
}

func newIsolationTracker(world *World) *isolationTracker {
	return &isolationTracker{world: world, states: map[*Host]*isolation{}}
}

// of returns the isolation state of a data daemon.
func (tracker *isolationTracker) of(host *Host) *isolation {
	if tracker.states[host] == nil {
		tracker.states[host] = &isolation{}
	}
	return tracker.states[host]
}

// refresh updates all isolation states after a change of the topology.
func (tracker *isolationTracker) refresh() {
	world := tracker.world
	if !world.topology.takeChange() {
		return
	}
	tracker.refreshMinority()
	quorum := tracker.quorumCores()
	for _, host := range world.Daemons() {
		tracker.setIsolated(host, !tracker.reachesAny(host, quorum))
	}
}

// refreshMinority updates hasOnlyMinority and minorityEndedAt.
func (tracker *isolationTracker) refreshMinority() {
	running := tracker.runningCores()
	hasOnlyMinority := len(running) > 0 && len(tracker.withQuorumAmong(running)) == 0
	if tracker.hasOnlyMinority && !hasOnlyMinority {
		tracker.minorityEndedAt = tracker.world.Now
	}
	tracker.hasOnlyMinority = hasOnlyMinority
}

// runningCores returns the control machines that run and are not frozen.
func (tracker *isolationTracker) runningCores() []*Host {
	return slices.DeleteFunc(tracker.world.Cores(), func(host *Host) bool { return !host.up || host.frozen })
}

// withQuorumAmong returns the running control machines that reach, among the given ones and with themselves, a majority
// of all control machines.
func (tracker *isolationTracker) withQuorumAmong(among []*Host) []*Host {
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

// isOnlyMinorityLeft reports whether some control machines run but none reaches a majority, now or at a time within the
// last reconnectBound.
func (tracker *isolationTracker) isOnlyMinorityLeft() bool {
	return tracker.hasOnlyMinority ||
		!tracker.minorityEndedAt.IsZero() && tracker.world.Now.Sub(tracker.minorityEndedAt) <= reconnectBound
}

// quorumCores returns the running, unfrozen control machines that reach a majority.
func (tracker *isolationTracker) quorumCores() []*Host {
	return tracker.withQuorumAmong(tracker.world.Cores())
}

// reachesAny reports whether a daemon has a path both ways to any of these control machines.
func (tracker *isolationTracker) reachesAny(host *Host, cores []*Host) bool {
	for _, core := range cores {
		if tracker.world.topology.linked(host, core) {
			return true
		}
	}
	return false
}

// setIsolated records that a daemon is isolated, or no longer is.
func (tracker *isolationTracker) setIsolated(host *Host, isolated bool) {
	world, isolation := tracker.world, tracker.of(host)
	if isolated != isolation.since.IsZero() {
		return
	}
	if !isolated {
		isolation.previous, isolation.finished = isolation.since, world.Now
		isolation.since = time.Time{}
		if isolation.history != nil {
			isolation.history.Until = world.Now.Add(reconnectBound)
		}
		return
	}
	isolation.since, isolation.history = world.Now, nil
	if world.Traffic != nil && world.IsolationLimit > 0 {
		isolation.history = &histories.Isolation{
			Daemon: host.Address,
			From:   world.Now,
			Until:  world.Now.Add(world.IsolationLimit + leaseBound),
		}
		world.Traffic.History.Isolations = append(world.Traffic.History.Isolations, isolation.history)
	}
}
