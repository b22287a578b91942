package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// silentHeartbeats is how many heartbeats a runner may miss before it is called silent, and relayedHeartbeats how
	// many more where it was last heard by another core.
	silentHeartbeats  = 3.5
	relayedHeartbeats = 1.0
	// graceHeartbeats is for how many heartbeats a core that has just started calls nobody silent.
	graceHeartbeats = 5
	// announcementsPerHeartbeat is how often in a heartbeat the calls heard are announced to the other cores.
	announcementsPerHeartbeat = 2
)

// lastCall is the latest call of a runner that any core is known to have heard.
type lastCall struct {
	call uint64
	// heardAt is when we learned of it, and direct is whether the runner called this core.
	heardAt time.Time
	direct  bool
	// announced is the latest call that was announced to the other cores.
	announced uint64
}

// liveness is what a core knows of the runners' latest calls.
type liveness struct {
	heartbeat    time.Duration
	graceUntil   time.Time
	calls        map[string]*lastCall
	lastAnnounce time.Time
	lastCheck    time.Time
}

func newLiveness(now time.Time, heartbeat time.Duration) liveness {
	return liveness{
		heartbeat: heartbeat, graceUntil: now.Add(graceHeartbeats * heartbeat), calls: map[string]*lastCall{},
	}
}

// call returns the number of a runner's latest call, 0 where none is known.
func (liveness *liveness) call(id string) uint64 {
	if last := liveness.calls[id]; last != nil {
		return last.call
	}
	return 0
}

// heard records the latest call of a runner; direct is whether it called this core.
func (liveness *liveness) heard(now time.Time, id string, call uint64, direct bool) {
	last := liveness.calls[id]
	if last == nil {
		last = &lastCall{}
		liveness.calls[id] = last
	}
	last.call, last.heardAt, last.direct = call, now, direct
}

func (liveness *liveness) remove(id string) { delete(liveness.calls, id) }

// resume counts every runner as heard now.
func (liveness *liveness) resume(now time.Time) {
	for _, last := range liveness.calls {
		last.heardAt = now
	}
}

// lastHeard returns the latest call of the runner of a record. What another core has just told of counts as heard
// now, for nobody can say when it was.
func (liveness *liveness) lastHeard(now time.Time, record *wire.Runner) *lastCall {
	last := liveness.calls[record.RunnerId]
	if last == nil || last.call < record.Call {
		liveness.heard(now, record.RunnerId, record.Call, false)
	}
	return liveness.calls[record.RunnerId]
}

// silenceTimeout is for how long a runner may not be heard before it is called silent.
func (liveness *liveness) silenceTimeout(last *lastCall) time.Duration {
	heartbeats := silentHeartbeats
	if !last.direct {
		heartbeats += relayedHeartbeats
	}
	return time.Duration(heartbeats * float64(liveness.heartbeat))
}

// contradicts reports whether a runner that a record calls silent has called since, and not long ago.
func (liveness *liveness) contradicts(now time.Time, record *wire.Runner) bool {
	last := liveness.calls[record.RunnerId]
	if last == nil || last.call <= record.Call {
		return false
	}
	return now.Sub(last.heardAt) <= liveness.silenceTimeout(last)
}

// unannounced returns the calls that the other cores were not told of, when it is time to tell them, and counts them as
// announced.
func (liveness *liveness) unannounced(now time.Time) []*wire.RunnerVersion {
	if now.Sub(liveness.lastAnnounce) < liveness.heartbeat/announcementsPerHeartbeat {
		return nil
	}
	liveness.lastAnnounce = now
	var calls []*wire.RunnerVersion
	for _, id := range slices.Sorted(maps.Keys(liveness.calls)) {
		if last := liveness.calls[id]; last.call > last.announced {
			last.announced = last.call
			calls = append(calls, &wire.RunnerVersion{RunnerId: id, Call: last.call})
		}
	}
	return calls
}

// forget forgets the calls of runners that are not in the table any more.
func (liveness *liveness) forget(isKnown func(id string) bool) {
	maps.DeleteFunc(liveness.calls, func(id string, _ *lastCall) bool { return !isKnown(id) })
}
