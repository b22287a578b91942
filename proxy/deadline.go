package proxy

import (
	"time"

	"wardtray/features"
)

const (
	// sureBound is how long a request waits for its daemon to be sure of its spec again.
	sureBound = time.Second
	// silenceBound is how long the next event is waited for where no deadline is known.
	silenceBound = 15 * time.Second
	// leastBound is what a first event is given beyond its patience where no deadline is known.
	leastBound = time.Second
)

// sure waits a moment for the daemon to be sure of its spec again, where it is not: it may be about to
// learn a newer one. It tells whether it is.
func (course *Course) sure() bool {
	until := course.now().Add(sureBound)
	// Nobody waits past the requester's own deadline, whatever lane the request has.
	if wait := course.request.Wait; wait > 0 && course.begun.Add(wait).Before(until) {
		until = course.begun.Add(wait)
	}
	for {
		// Asked for before the look, so that no renewal falls between the two.
		renewed := course.yard.Renewed()
		snapshot, now := course.yard.Snapshot(), course.now()
		if snapshot.Book == nil {
			return false
		}
		if now.Before(snapshot.Until) {
			return true
		}
		if course.left() || !now.Before(until) {
			return false
		}
		course.yard.World.Wait(course.ctx, until.Sub(now), renewed)
	}
}

// given tells up to when an answer is any use: the sooner of what the requester and the lane give.
func (course *Course) given() time.Time {
	least := course.request.Wait
	if own := time.Duration(course.lane.Deadline); own > 0 && (least == 0 || own < least) {
		least = own
	}
	if least == 0 {
		return time.Time{}
	}
	return course.begun.Add(least)
}

// waits is how long the requester waits at all; 0: not told.
func (course *Course) waits() time.Duration {
	if course.until.IsZero() {
		return 0
	}
	return course.until.Sub(course.begun)
}

// remaining is how long that still is; 0: not told.
func (course *Course) remaining() time.Duration {
	if course.until.IsZero() {
		return 0
	}
	return max(time.Millisecond, course.until.Sub(course.now()))
}

// over tells whether nobody waits any more.
func (course *Course) over() bool {
	return !course.until.IsZero() && !course.now().Before(course.until)
}

// outlastsStop tells whether the answer might well last longer than this process. Cut in its middle it would be lost, and
// another daemon can take it now.
func (course *Course) outlastsStop() bool {
	by := course.yard.StopBy.Load()
	return by != nil && course.now().Add(course.desk.Longest(course.ticket)).After(*by)
}

// patience is the time in which the first event should come, as far as there is that much.
func (course *Course) patience() time.Duration {
	patience := time.Duration(course.lane.Patience)
	if left := course.remaining(); left > 0 && left < patience {
		return left
	}
	return patience
}

// firstBound is how long the first event is waited for.
func (course *Course) firstBound() time.Duration {
	patience, left := time.Duration(course.lane.Patience), course.remaining()
	if left > 0 {
		// A run that can't be repeated is worth something up to the requester's own deadline, and a silent runner
		// may yet answer. One that can be is better begun anew at another runner while that is in time.
		if !course.lane.Repeatable || !course.mayTry() || course.yard.Without[features.EarlyRetry] {
			return left
		}
		return min(left, max(patience, left/2))
	}
	// A run that can't be repeated is given its patience once more before its outcome is called unknown;
	// one that can be is better begun anew. Longer than that nobody waits for a runner that seems well.
	if !course.lane.Repeatable {
		return max(patience+leastBound, 2*patience)
	}
	return patience + leastBound
}

// pauseBound is how long the next event is waited for.
func (course *Course) pauseBound() time.Duration {
	left := course.remaining()
	if left == 0 {
		return silenceBound
	}
	if course.lane.Resumable && course.lane.Pause > 0 && course.mayTry() {
		return min(left, 2*time.Duration(course.lane.Pause))
	}
	return left
}
