package load

import (
	"hash/fnv"
	"time"

	"wardtray/features"
)

const (
	// SlowStartStep is the step of a slow start: after each step one more daemon may use the runner, and after
	// stepsPerRequest of them each daemon may have one more request on it.
	SlowStartStep   = 400 * time.Millisecond
	stepsPerRequest = 4
	// SlowStartDuration is how long after it became ready a new runner is in slow start.
	SlowStartDuration = 6 * time.Second
	// startupGrace is how long after its own start a daemon takes ready runners to be past their slow start.
	startupGrace = 3 * time.Second
)

// slowStart is the state of a new runner's slow start.
type slowStart struct {
	// readySince is when the runner was first listed as ready; zero: not yet.
	readySince time.Time
	completed  bool
}

// ready records that the runner is listed as ready.
func (slowStart *slowStart) ready(now time.Time) {
	if slowStart.readySince.IsZero() {
		slowStart.readySince = now
	}
}

// slowStartLimit limits the requests on a new runner: one daemon with one request at first, then more of both. It
// reports whether the runner is in slow start, and returns how many requests of ours it may have.
func (table *Table) slowStartLimit(
	now time.Time, entry *entry, limit int, daemons []string,
) (active bool, limited int) {
	state, cold := &entry.slowStart, entry.listing.State == stateCold
	if state.completed && !cold || table.Without[features.WarmUp] {
		return false, limit
	}
	steps := 0
	if !cold && !state.readySince.IsZero() {
		ready := now.Sub(state.readySince)
		if ready >= SlowStartDuration {
			state.completed = true
			return false, limit
		}
		steps = int(ready / SlowStartStep)
	}
	// All daemons compute the same few from the runner's ID, so that together they send no more than few can.
	if daemonRank(entry.listing.RunnerId, table.self, daemons) > steps {
		return true, 0
	}
	return true, min(limit, 1+steps/stepsPerRequest)
}

// daemonRank returns a daemon's position, from 0, in the order in which daemons may use a runner. It is computed by
// rendezvous hashing, so that all daemons agree without a message.
func daemonRank(runner, self string, daemons []string) int {
	own, rank := rendezvousWeight(runner, self), 0
	for _, daemon := range daemons {
		other := rendezvousWeight(runner, daemon)
		if daemon != self && (other > own || other == own && daemon < self) {
			rank++
		}
	}
	return rank
}

// rendezvousWeight hashes a runner and a daemon. FNV alone leaves names that differ in the last letter near each other,
// so its result is mixed as by the first half of MurmurHash3's 64-bit finalizer.
func rendezvousWeight(runner, daemon string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(runner + "\x00" + daemon)) // Writing to a hash can't fail.
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}
