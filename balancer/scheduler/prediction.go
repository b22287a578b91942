package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/features"
)

const (
	// indexProbability is how likely a runner still has cached what it was sent a moment ago.
	indexProbability = 0.97
	// cacheMemoryRatio is the part of a runner's memory that cached parts may take.
	cacheMemoryRatio = 0.8
	// evenRequests is how many requests, spread evenly, are supposed beside our own for each daemon.
	evenRequests = 0.3
)

// prefixLookup returns what each runner of a set probably has cached of the prompt with these keys.
type prefixLookup func(keys []kvblock.BlockKey, runners map[string]bool) map[string]kvblock.CachedPrefix

// predictCandidates returns the cycle's candidates with what each runner means for one request.
func (scheduler *Scheduler) predictCandidates(
	now time.Time, request *QueuedRequest, cycle *SchedulingContext, lookup prefixLookup,
) []Candidate {
	promptTokens, shared := request.Requirements.PromptTokens, request.sharedTokens()
	prefill := scheduler.forecast.speeds.prefill(promptTokens, shared)
	long := scheduler.longPrompts.isLong(prefill, request.Route, request.Requirements.LatencyTarget)
	candidates := make([]Candidate, len(cycle.Candidates))
	copy(candidates, cycle.Candidates)
	cached := scheduler.cachedPrefixes(request, candidates, lookup)
	probabilities := map[string]float64{}
	if !scheduler.Without[features.Homes] {
		probabilities = scheduler.homeProbabilities(request, cycle, cycle.preferredRunners(long), shared)
	}
	for index := range candidates {
		candidate := &candidates[index]
		candidate.SharedTokens = shared
		if prefix, found := cached[candidate.ID]; found {
			candidate.setCached(now, prefix, request.PartTokens, cycle.CacheLifetime)
		}
		probability := probabilities[candidate.ID]
		if probability*float64(shared) > candidate.expectedCachedTokens() {
			candidate.CachedTokens, candidate.CacheProbability = shared, probability
		}
		scheduler.predict(now, candidate, promptTokens, cycle)
	}
	return candidates
}

// cachedPrefixes returns what the index says that each candidate has cached of the prompt.
func (scheduler *Scheduler) cachedPrefixes(
	request *QueuedRequest, candidates []Candidate, lookup prefixLookup,
) map[string]kvblock.CachedPrefix {
	if scheduler.Without[features.PrefixIndex] {
		return nil
	}
	ids := make(map[string]bool, len(candidates))
	for index := range candidates {
		ids[candidates[index].ID] = true
	}
	return lookup(request.Keys, ids)
}

// preferredRunners returns the usable runners where prompts of a class go first: the reserved ones for long prompts, if
// there are any, and the others for short ones.
func (cycle *SchedulingContext) preferredRunners(long bool) []load.Runner {
	var preferred []load.Runner
	reserved := long && len(cycle.LongRunners) > 0
	for index := range cycle.Candidates {
		runner := &cycle.Candidates[index].Runner
		if runner.Usable && cycle.LongRunners[runner.ID] == reserved {
			preferred = append(preferred, *runner)
		}
	}
	return preferred
}

// setCached sets what the index says that a runner has cached of a prompt. lifetime is how long runners keep a part; 0:
// not known.
func (candidate *Candidate) setCached(
	now time.Time, prefix kvblock.CachedPrefix, partTokens []int, lifetime time.Duration,
) {
	for _, tokens := range partTokens[:min(prefix.Blocks, len(partTokens))] {
		candidate.CachedTokens += tokens
	}
	candidate.CacheProbability = indexProbability
	if lifetime > 0 {
		candidate.CacheProbability *= math.Exp(-float64(now.Sub(prefix.LastUsed)) / float64(lifetime))
	}
}

// predict sets how long a runner would read a prompt and let it wait, and what that does to others.
func (scheduler *Scheduler) predict(
	now time.Time, candidate *Candidate, promptTokens int, cycle *SchedulingContext,
) {
	forecast := scheduler.forecast
	slowdown := forecast.backlog(candidate.ID).slowdownAt(now)
	if scheduler.Without[features.Slowness] {
		slowdown = 1
	}
	uncached := forecast.speeds.prefill(promptTokens, 0)
	cached := forecast.speeds.prefill(promptTokens, candidate.CachedTokens)
	expected := forecast.speeds.overhead + uncached - candidate.CacheProbability*(uncached-cached)
	candidate.Prefill = expected * slowdown
	usual, shortRate := cycle.Short, cycle.ShortRate
	if cycle.LongRunners[candidate.ID] {
		usual, shortRate = cycle.Long, 0
	}
	candidate.Wait = forecast.ownWait(now, candidate.ID)*slowdown +
		forecast.othersWait(now, &candidate.Runner, usual)*slowdown
	if !scheduler.Without[features.OthersEstimate] {
		candidate.UnreportedRequests = cycle.unreportedRequests(scheduler.window.inFlight, &candidate.Runner)
	}
	candidate.OthersDelay = shortRate * candidate.Prefill * candidate.Prefill / 2
}

// unreportedRequests is how many requests of other daemons a runner probably has that its reports don't show yet, where
// we have so many in flight at the backend.
//
// It is estimated from our own: all daemons agree on the homes of prefixes, so that where ours are, theirs are too.
func (cycle *SchedulingContext) unreportedRequests(inFlight int, runner *load.Runner) float64 {
	others := float64(inFlight * (cycle.Daemons - 1))
	// The more daemons, the more one request of our own stands for, and the less it shows.
	prior := evenRequests * float64(cycle.Daemons)
	runners := float64(max(1, len(cycle.Candidates)))
	ratio := (float64(runner.InFlight) + prior/runners) / (float64(inFlight) + prior)
	reported := runner.Load - float64(runner.InFlight)
	return max(0, others*ratio-reported)
}

// forecastDispatch adds a request that goes out to a runner to the forecast.
func (scheduler *Scheduler) forecastDispatch(now time.Time, request *QueuedRequest, decision Decision) {
	forecast, promptTokens := scheduler.forecast, request.Requirements.PromptTokens
	if !request.counted {
		request.counted = true
		shared := request.sharedTokens()
		work := forecast.speeds.prefill(promptTokens, shared)
		forecast.count(now, trafficSample{
			prefix: prefixKey(request.Keys),
			work:   work,
			tokens: promptTokens - shared + request.Requirements.AnswerTokens/2,
			long:   scheduler.longPrompts.isLong(work, request.Route, request.Requirements.LatencyTarget),
		})
	}
	prefill := forecast.speeds.prefill(promptTokens, min(decision.CachedTokens, promptTokens))
	forecast.backlog(decision.Runner.ID).add(now, request, prefill, decision.Predicted.Seconds())
}
