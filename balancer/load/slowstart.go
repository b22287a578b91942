package load

import (
	"hash/fnv"
	"time"

	"wardtray/features"
)

const (
	// SlowStartStep is the step length of a slow start: after each step one more daemon may use the runner, and after
	// every stepsPerRequest steps each of these daemons may have one more request on it.
	SlowStartStep   = 400 * time.Millisecond
	stepsPerRequest = 4
	// SlowStartDuration is the duration of a slow start, from when a new runner is first listed as ready.
	SlowStartDuration = 6 * time.Second
	// startupGrace is the time after a daemon's own start during which it treats newly listed ready runners as past their
	// slow start.
	startupGrace = 3 * time.Second
)

// slowStart is the slow start state of one runner.
type slowStart struct {
	// readySince is the time when the runner was first listed as ready; zero before that.
	readySince time.Time
	completed  bool
}

// ready records that the runner is listed as ready.
func (slowStart *slowStart) ready(now time.Time) {
	if slowStart.readySince.IsZero() {
		slowStart.readySince = now
	}
}

// slowStartLimit limits the requests on a new runner: first one daemon may send one request, later more daemons may
// send more. It reports whether the runner is in slow start, and returns the number of requests that this daemon may
// have on it, at most limit.
func (table *Table) slowStartLimit(
	now time.Time, entry *entry, limit int, daemons []string,
) (active bool, limited int) {
	state, cold := &entry.slowStart, entry.listing.State == stateCold
	if state.completed && !cold || table.Disabled[features.WarmUp] {
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
	// All daemons derive the same order from the runner's ID, so that only the first steps+1 of them send requests.
	if daemonRank(entry.listing.RunnerId, table.self, daemons) > steps {
		return true, 0
	}
	return true, min(limit, 1+steps/stepsPerRequest)
}

// daemonRank returns the position, from 0, of the daemon self in the order in which daemons may use a runner. It uses
// rendezvous hashing, so that all daemons agree on the order without exchanging messages.
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

// rendezvousWeight returns the rendezvous hash of a runner and a daemon. FNV-1a gives similar hashes to names that
// differ only in the last letter, so the first half of MurmurHash3's 64-bit finalizer is applied to its result.
func rendezvousWeight(runner, daemon string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(runner + "\x00" + daemon)) // Writing to a hash can't fail.
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}
