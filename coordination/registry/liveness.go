package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// silentHeartbeats is the number of heartbeats after which a runner that has not called is marked silent,
	// relayedHeartbeats the number added if another control node received its latest call.
	silentHeartbeats  = 3.5
	relayedHeartbeats = 1.0
	// graceHeartbeats is the number of heartbeats for which a control node that has just started marks no runner silent.
	graceHeartbeats = 5
	// announcementsPerHeartbeat is the number of times per heartbeat that received calls are announced to the other
	// control nodes.
	announcementsPerHeartbeat = 2
)

// lastCall is the latest known call of a runner to any control node.
type lastCall struct {
	call uint64
	// learnedAt is the time at which this control node learned of the call; direct is set if it received the call itself.
	learnedAt time.Time
	direct    bool
	// announced is the number of the latest call that was announced to the other control nodes.
	announced uint64
}

// liveness tracks the latest calls of the runners at a control node.
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

// call returns the number of a runner's latest call, or 0 if none is known.
func (liveness *liveness) call(id string) uint64 {
	if last := liveness.calls[id]; last != nil {
		return last.call
	}
	return 0
}

// recordCall stores the latest call of a runner; direct is set if this control node received it.
func (liveness *liveness) recordCall(now time.Time, id string, call uint64, direct bool) {
	last := liveness.calls[id]
	if last == nil {
		last = &lastCall{}
		liveness.calls[id] = last
	}
	last.call, last.learnedAt, last.direct = call, now, direct
}

func (liveness *liveness) remove(id string) { delete(liveness.calls, id) }

// resume sets the time of every latest call to now.
func (liveness *liveness) resume(now time.Time) {
	for _, last := range liveness.calls {
		last.learnedAt = now
	}
}

// ensureCall returns the latest call of the runner of a record. A call that is known only from the record counts as
// received now, since the time at which another control node received it is unknown.
func (liveness *liveness) ensureCall(now time.Time, record *wire.Runner) *lastCall {
	last := liveness.calls[record.RunnerId]
	if last == nil || last.call < record.Call {
		liveness.recordCall(now, record.RunnerId, record.Call, false)
	}
	return liveness.calls[record.RunnerId]
}

// silenceTimeout returns the time after its latest call at which a runner is marked silent.
func (liveness *liveness) silenceTimeout(last *lastCall) time.Duration {
	heartbeats := silentHeartbeats
	if !last.direct {
		heartbeats += relayedHeartbeats
	}
	return time.Duration(heartbeats * float64(liveness.heartbeat))
}

// contradicts reports whether a runner that a record marks as silent has made a later call within its silence timeout.
func (liveness *liveness) contradicts(now time.Time, record *wire.Runner) bool {
	last := liveness.calls[record.RunnerId]
	if last == nil || last.call <= record.Call {
		return false
	}
	return now.Sub(last.learnedAt) <= liveness.silenceTimeout(last)
}

// takeUnannounced returns the calls that are due for announcement to the other control nodes, and marks them as
// announced.
func (liveness *liveness) takeUnannounced(now time.Time) []*wire.RunnerVersion {
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

// removeUnknown removes the calls of runners that the table no longer holds.
func (liveness *liveness) removeUnknown(isKnown func(id string) bool) {
	maps.DeleteFunc(liveness.calls, func(id string, _ *lastCall) bool { return !isKnown(id) })
}
