package scheduler

import (
	"wardtray/balancer/load"
	"wardtray/features"
)

// CostWeights are the weights of the cost of dispatching a request to a runner. All costs are in seconds, so that they
// can be added.
type CostWeights struct {
	// TokenSeconds is the learned prefill time of one uncached token.
	TokenSeconds float64 `json:"TokenSeconds"`
	// SlotSeconds is the learned time for which a request occupies its slot on a runner.
	SlotSeconds float64 `json:"PlaceSeconds"`
	// CrossZone is the cost of a runner in another zone, CrossZoneTokens the additional cost per 1000 prompt tokens.
	CrossZone       float64 `json:"CrossZone"`
	CrossZoneTokens float64 `json:"ThousandAcross"`
	// Recompute is the cost of prefilling 1000 shared tokens again, in addition to the time that it takes.
	Recompute float64 `json:"Reread"`
	// OthersDelay is the cost of one second of delay to other requests.
	OthersDelay float64 `json:"Harm"`
}

// DefaultCostWeights applies until TokenSeconds and SlotSeconds have been learned. See docs/placement.md for
// OthersDelay.
var DefaultCostWeights = CostWeights{
	TokenSeconds:    defaultSpeeds.token,
	SlotSeconds:     2,
	CrossZone:       0.02,
	CrossZoneTokens: 0.003,
	Recompute:       0.25,
	OthersDelay:     0.6,
}

// tokensPerCostUnit is the number of tokens to which CrossZoneTokens and Recompute refer.
const tokensPerCostUnit = 1000

// Candidate is a runner to which the request may be dispatched, with the predictions for it.
type Candidate struct {
	load.Runner
	// CachedTokens is the number of leading prompt tokens that the runner may have cached, according to the index or as
	// a home of the prefix.
	CachedTokens int `json:"HeldTokens"`
	// CacheProbability is the probability that the runner has CachedTokens cached.
	CacheProbability float64 `json:"Chance"`
	// SharedTokens is the number of prompt tokens in parts that other requests are likely to share.
	SharedTokens int `json:"SharedTokens"`
	// Prefill is the prefill time of the prompt, Wait the time for which the runner prefills other prompts first, and
	// OthersDelay the delay that the prompt causes to other requests. All are predictions in seconds.
	Prefill     float64 `json:"Prefill"`
	Wait        float64 `json:"Wait"`
	OthersDelay float64 `json:"Harm"`
	// UnreportedRequests is the estimated number of requests of other daemons that the runner's reports don't show yet.
	UnreportedRequests float64 `json:"Coming"`
}

// expectedCachedTokens returns the expected number of prompt tokens that the runner has cached.
func (candidate *Candidate) expectedCachedTokens() float64 {
	return candidate.CacheProbability * float64(candidate.CachedTokens)
}

// recomputedTokens returns the expected number of tokens in the prompt's shared parts that the runner must prefill
// again.
func (candidate *Candidate) recomputedTokens() float64 {
	cached := candidate.CacheProbability * float64(min(candidate.CachedTokens, candidate.SharedTokens))
	return float64(candidate.SharedTokens) - cached
}

// ScoredCandidate is a candidate with its score.
type ScoredCandidate struct {
	Candidate Candidate `json:"Offer"`
	// FirstEventSeconds is the predicted time to the first event, in seconds.
	FirstEventSeconds float64 `json:"First"`
	// Score is the negative cost of the candidate, in seconds; the greatest is the best.
	Score float64 `json:"Net"`
	// Saturated says that this daemon may not send the runner any more requests now.
	Saturated bool `json:"Full"`
}

// Score returns the eligible candidates with their scores for a request.
func Score(requirements Requirements, candidates []Candidate, weights CostWeights) []ScoredCandidate {
	scored := make([]ScoredCandidate, 0, len(candidates))
	for index := range candidates {
		candidate := &candidates[index]
		if !eligible(&requirements, candidate) {
			continue
		}
		queueing := queueingSeconds(candidate, weights)
		first := queueing + candidate.Wait + candidate.Prefill
		cost := first + queueing*(requirements.urgencyFactor()-1) +
			occupancyCost(candidate, weights) +
			memoryExcessCost*memoryExcess(&requirements, candidate) +
			weights.Recompute*candidate.recomputedTokens()/tokensPerCostUnit +
			weights.OthersDelay*candidate.OthersDelay
		if candidate.Zone != requirements.Zone {
			cost += weights.CrossZone + weights.CrossZoneTokens*float64(requirements.PromptTokens)/tokensPerCostUnit
		}
		scored = append(scored, ScoredCandidate{
			Candidate:         *candidate,
			FirstEventSeconds: first,
			Score:             -cost,
			Saturated:         saturated(&candidate.Runner),
		})
	}
	return scored
}

// queueingSeconds returns the predicted time for which the request waits for a slot. It is 0 if a slot is free, since
// the request then shares the engine with the others; otherwise the request waits for one of the slots.
func queueingSeconds(candidate *Candidate, weights CostWeights) float64 {
	slots := candidate.slots()
	return max(0, candidate.Load+1-slots) / slots * weights.SlotSeconds
}

// enabledCostWeights returns the cost weights, with 0 for mechanisms that are switched off.
func (scheduler *Scheduler) enabledCostWeights() CostWeights {
	weights := scheduler.costWeights
	if scheduler.Disabled[features.RecomputeCost] {
		weights.Recompute = 0
	}
	if scheduler.Disabled[features.Interference] {
		weights.OthersDelay = 0
	}
	if scheduler.Disabled[features.ZonePreference] {
		weights.CrossZone, weights.CrossZoneTokens = 0, 0
	}
	return weights
}
