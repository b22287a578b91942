package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/features"
)

const (
	// indexProbability is the probability that a runner still has cached the prefix that was just sent to it.
	indexProbability = 0.97
	// cacheMemoryRatio is the fraction of a runner's memory available for cached prompt parts.
	cacheMemoryRatio = 0.8
	// priorRequestsPerDaemon is the number of evenly spread requests per daemon that are added to this daemon's own as a
	// prior when the distribution of other daemons' requests is estimated.
	priorRequestsPerDaemon = 0.3
)

// prefixLookup returns the leading part of the prompt with these keys that each of the given runners probably has
// cached.
type prefixLookup func(keys []kvblock.BlockKey, runners map[string]bool) map[string]kvblock.CachedPrefix

// predictCandidates returns the cycle's candidates with the predictions for one request.
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
	if !scheduler.Disabled[features.Homes] {
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

// cachedPrefixes returns the leading part of the prompt that each candidate has cached according to the index.
func (scheduler *Scheduler) cachedPrefixes(
	request *QueuedRequest, candidates []Candidate, lookup prefixLookup,
) map[string]kvblock.CachedPrefix {
	if scheduler.Disabled[features.PrefixIndex] {
		return nil
	}
	ids := make(map[string]bool, len(candidates))
	for index := range candidates {
		ids[candidates[index].ID] = true
	}
	return lookup(request.Keys, ids)
}

// preferredRunners returns the usable runners preferred for a class of prompts: the reserved ones for long prompts, and
// the others for short prompts. Without reserved runners, all are preferred for both.
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

// setCached sets the cached tokens and the cache probability from the prefix that the index returned. lifetime is the
// time constant of the decay of that probability; 0 if unknown.
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

// predict sets the predicted prefill time and wait of a prompt on a candidate, the unreported requests there and the
// delay that the prompt causes to others.
func (scheduler *Scheduler) predict(
	now time.Time, candidate *Candidate, promptTokens int, cycle *SchedulingContext,
) {
	forecast := scheduler.forecast
	slowdown := forecast.backlog(candidate.ID).slowdownAt(now)
	if scheduler.Disabled[features.Slowness] {
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
	if !scheduler.Disabled[features.OthersEstimate] {
		candidate.UnreportedRequests = cycle.unreportedRequests(scheduler.window.inFlight, &candidate.Runner)
	}
	candidate.OthersDelay = shortRate * candidate.Prefill * candidate.Prefill / 2
}

// unreportedRequests estimates the number of requests of other daemons on a runner that its reports don't show yet.
// inFlight is the number of this daemon's requests in flight at the backend.
//
// The estimate assumes that the requests of other daemons are distributed like this daemon's own, since all daemons
// agree on the homes of prefixes.
func (cycle *SchedulingContext) unreportedRequests(inFlight int, runner *load.Runner) float64 {
	others := float64(inFlight * (cycle.Daemons - 1))
	// With more daemons, each own request stands for more requests of others and is weaker evidence, so the prior grows.
	prior := priorRequestsPerDaemon * float64(cycle.Daemons)
	runners := float64(max(1, len(cycle.Candidates)))
	ratio := (float64(runner.InFlight) + prior/runners) / (float64(inFlight) + prior)
	reported := runner.Load - float64(runner.InFlight)
	return max(0, others*ratio-reported)
}

// forecastDispatch adds a dispatched request to the forecast: to the traffic statistics at its first dispatch, and to
// the backlog of its runner at every dispatch.
func (scheduler *Scheduler) forecastDispatch(now time.Time, request *QueuedRequest, decision Decision) {
	forecast, promptTokens := scheduler.forecast, request.Requirements.PromptTokens
	if !request.counted {
		request.counted = true
		shared := request.sharedTokens()
		work := forecast.speeds.prefill(promptTokens, shared)
		forecast.count(now, trafficSample{
			prefix: prefixKey(request.Keys),
			work:   work,
			tokens: promptTokens - shared + request.Requirements.MaxResponseTokens/2,
			long:   scheduler.longPrompts.isLong(work, request.Route, request.Requirements.LatencyTarget),
		})
	}
	prefill := forecast.speeds.prefill(promptTokens, min(decision.CachedTokens, promptTokens))
	forecast.backlog(decision.Runner.ID).add(now, request, prefill, decision.Predicted.Seconds())
}
