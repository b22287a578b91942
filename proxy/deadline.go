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
	// leastBound is what a first event is given beyond its latency target where no deadline is known.
	leastBound = time.Second
)

// sure waits a moment for the daemon to be sure of its spec again, where it is not: it may be about to
// learn a newer one. It tells whether it is.
func (exchange *Exchange) sure() bool {
	until := exchange.now().Add(sureBound)
	// Nobody waits past the client's own deadline, whatever route the request has.
	if wait := exchange.request.Wait; wait > 0 && exchange.started.Add(wait).Before(until) {
		until = exchange.started.Add(wait)
	}
	for {
		// Asked for before the look, so that no renewal falls between the two.
		renewed := exchange.handler.Renewed()
		snapshot, now := exchange.handler.Snapshot(), exchange.now()
		if snapshot.Catalog == nil {
			return false
		}
		if now.Before(snapshot.Until) {
			return true
		}
		if exchange.left() || !now.Before(until) {
			return false
		}
		exchange.handler.Environment.Wait(exchange.ctx, until.Sub(now), renewed)
	}
}

// given tells up to when an answer is any use: the sooner of what the client and the route give.
func (exchange *Exchange) given() time.Time {
	least := exchange.request.Wait
	if own := time.Duration(exchange.route.Deadline); own > 0 && (least == 0 || own < least) {
		least = own
	}
	if least == 0 {
		return time.Time{}
	}
	return exchange.started.Add(least)
}

// waits is how long the client waits at all; 0: not told.
func (exchange *Exchange) waits() time.Duration {
	if exchange.until.IsZero() {
		return 0
	}
	return exchange.until.Sub(exchange.started)
}

// remaining is how long that still is; 0: not told.
func (exchange *Exchange) remaining() time.Duration {
	if exchange.until.IsZero() {
		return 0
	}
	return max(time.Millisecond, exchange.until.Sub(exchange.now()))
}

// over tells whether nobody waits any more.
func (exchange *Exchange) over() bool {
	return !exchange.until.IsZero() && !exchange.now().Before(exchange.until)
}

// outlastsStop tells whether the answer might well last longer than this process. Cut in its middle it would be lost, and
// another daemon can take it now.
func (exchange *Exchange) outlastsStop() bool {
	by := exchange.handler.StopBy.Load()
	return by != nil && exchange.now().Add(exchange.scheduler.Longest(exchange.queuedRequest)).After(*by)
}

// latencyTarget is the time in which the first event should come, as far as there is that much.
func (exchange *Exchange) latencyTarget() time.Duration {
	latencyTarget := time.Duration(exchange.route.LatencyTarget)
	if left := exchange.remaining(); left > 0 && left < latencyTarget {
		return left
	}
	return latencyTarget
}

// firstBound is how long the first event is waited for.
func (exchange *Exchange) firstBound() time.Duration {
	latencyTarget, left := time.Duration(exchange.route.LatencyTarget), exchange.remaining()
	if left > 0 {
		// A run that can't be repeated is worth something up to the client's own deadline, and a silent runner
		// may yet answer. One that can be is better begun anew at another runner while that is in time.
		if !exchange.route.Idempotent || !exchange.mayTry() || exchange.handler.Without[features.EarlyRetry] {
			return left
		}
		return min(left, max(latencyTarget, left/2))
	}
	// A run that can't be repeated is given its latency target once more before its outcome is called unknown;
	// one that can be is better begun anew. Longer than that nobody waits for a runner that seems well.
	if !exchange.route.Idempotent {
		return max(latencyTarget+leastBound, 2*latencyTarget)
	}
	return latencyTarget + leastBound
}

// pauseBound is how long the next event is waited for.
func (exchange *Exchange) pauseBound() time.Duration {
	left := exchange.remaining()
	if left == 0 {
		return silenceBound
	}
	if exchange.route.Resumable && exchange.route.Pause > 0 && exchange.mayTry() {
		return min(left, 2*time.Duration(exchange.route.Pause))
	}
	return left
}
