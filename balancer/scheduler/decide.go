package scheduler

import (
	"math"
	"math/rand"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
)

// overLimitFreeRatio is the fraction of a backend's slots that must be free for a route to exceed its concurrency
// limit.
const overLimitFreeRatio = 0.25

// Decide returns the decision for a request whose candidates have been scored.
func Decide(
	requirements Requirements, cycle SchedulingContext, scored []ScoredCandidate, pick Picker, random *rand.Rand,
) Decision {
	if len(scored) == 0 {
		return decideWithoutRunner(&requirements, &cycle)
	}
	// Beyond its concurrency limit a route may use only slots that other routes do not need.
	admitted := requirements.WithinLimit || cycle.FreeRatio >= overLimitFreeRatio
	best := -1
	if cycle.HasCapacity {
		best = pick(requirements, scored, random)
	}
	if best >= 0 && admitted && cycle.Ahead == 0 {
		candidate := &scored[best].Candidate
		return Decision{
			Kind:         Dispatch,
			Runner:       candidate.Runner,
			CachedTokens: candidate.CachedTokens,
			Predicted:    seconds(scored[best].FirstEventSeconds),
			Urgency:      urgency(&requirements, candidate),
		}
	}
	limited := best >= 0 && !admitted
	return enqueueOrReject(&requirements, &cycle, scored, limited)
}

// decideWithoutRunner returns the decision for a request for which no runner is eligible.
func decideWithoutRunner(requirements *Requirements, cycle *SchedulingContext) Decision {
	// A runner that is ejected or in slow start may become usable in time. Without such a runner, queueing is pointless.
	for index := range cycle.Candidates {
		candidate := &cycle.Candidates[index]
		mayBecomeUsable := candidate.Reason != load.ReasonDraining && !requirements.ExcludedRunners[candidate.ID]
		if mayBecomeUsable && requirements.Waited < requirements.maxWait() {
			return Decision{Kind: Enqueue, Reason: "every fit runner is paused or warming"}
		}
	}
	// The client should retry when the first ejection ends; without ejections, the best estimate is the time for which a
	// request occupies a slot.
	retry := seconds(cycle.CostWeights.SlotSeconds)
	for index := range cycle.Candidates {
		candidate := &cycle.Candidates[index]
		if candidate.Reason != load.ReasonDraining && candidate.EjectedUntil.After(cycle.Now) {
			retry = min(retry, candidate.EjectedUntil.Sub(cycle.Now))
		}
	}
	return Decision{
		Kind:       Reject,
		ErrorCode:  apierror.NoRunner,
		RetryAfter: max(minRetryAfter, retry),
		Reason:     "no runner that the spec allows is fit",
	}
}

// enqueueOrReject queues a request if it is predicted to be served in time, and rejects it at once otherwise. limited
// says that only the concurrency limit of its route prevents a dispatch.
func enqueueOrReject(
	requirements *Requirements, cycle *SchedulingContext, scored []ScoredCandidate, limited bool,
) Decision {
	shortestPrefill := math.Inf(1)
	for index := range scored {
		shortestPrefill = min(shortestPrefill, scored[index].Candidate.Prefill)
	}
	wait := max(1, cycle.WaitCorrection) * float64(cycle.Ahead+1) * cycle.CostWeights.SlotSeconds / max(1, cycle.Slots)
	predicted := seconds(wait + shortestPrefill)
	maxWait := requirements.maxWait()
	inTime := requirements.Waited+predicted <= maxWait
	if inTime || cycle.IgnorePrediction && requirements.Waited < maxWait {
		return Decision{Kind: Enqueue, Predicted: predicted, Reason: "every fit runner is full"}
	}
	decision := Decision{
		Kind:       Reject,
		ErrorCode:  apierror.LatencyTargetMissed,
		Predicted:  predicted,
		RetryAfter: max(time.Second, predicted-maxWait),
		Reason:     "the first event would come later than the lane's patience",
	}
	if limited {
		decision.ErrorCode = apierror.ConcurrencyLimitReached
		decision.Reason = "the lane holds its share of the pool and others wait"
	}
	return decision
}
