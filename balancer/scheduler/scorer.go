package scheduler

import (
	"wardtray/balancer/load"
	"wardtray/features"
)

// CostWeights weigh what a runner costs a request. All costs are in seconds, so that they add up.
type CostWeights struct {
	// TokenSeconds is the learned prefill time of one token that is not cached.
	TokenSeconds float64 `json:"TokenSeconds"`
	// SlotSeconds is for how long a request occupies its slot on a runner; it is learned too.
	SlotSeconds float64 `json:"PlaceSeconds"`
	// CrossZone is the cost of a runner in another zone, CrossZoneTokens that of each thousand prompt tokens beside.
	CrossZone       float64 `json:"CrossZone"`
	CrossZoneTokens float64 `json:"ThousandAcross"`
	// Recompute is the cost of reading a thousand tokens of shared parts once more, beside the time it takes.
	Recompute float64 `json:"Reread"`
	// OthersDelay is how many times a second of others' waiting counts against one of the request's own.
	OthersDelay float64 `json:"Harm"`
}

// DefaultCostWeights apply until measurements have come in. OthersDelay was measured best at 0.6 on three fleets
// (docs/placement.md).
var DefaultCostWeights = CostWeights{
	TokenSeconds:    defaultSpeeds.token,
	SlotSeconds:     2,
	CrossZone:       0.02,
	CrossZoneTokens: 0.003,
	Recompute:       0.25,
	OthersDelay:     0.6,
}

// tokensPerCostUnit is the number of tokens that CrossZoneTokens and Recompute are the cost of.
const tokensPerCostUnit = 1000

// Candidate is a runner that may take the request, with what is predicted for it.
type Candidate struct {
	load.Runner
	// CachedTokens is how many leading tokens of the prompt the runner may have cached, by the index or as a home of the
	// prefix.
	CachedTokens int `json:"HeldTokens"`
	// CacheProbability is how likely it has them cached.
	CacheProbability float64 `json:"Chance"`
	// SharedTokens is how many tokens of the prompt others are likely to have sent as well.
	SharedTokens int `json:"SharedTokens"`
	// Prefill is how long the runner reads the prompt, Wait how long it reads others first, and OthersDelay how long the
	// reading keeps others waiting. All in seconds.
	Prefill     float64 `json:"Prefill"`
	Wait        float64 `json:"Wait"`
	OthersDelay float64 `json:"Harm"`
	// UnreportedRequests is how many requests of other daemons the runner probably has that its reports don't show yet.
	UnreportedRequests float64 `json:"Coming"`
}

// expectedCachedTokens is how many tokens of the prompt the runner is expected to have cached.
func (candidate *Candidate) expectedCachedTokens() float64 {
	return candidate.CacheProbability * float64(candidate.CachedTokens)
}

// recomputedTokens is how many tokens of the prompt's shared parts the runner is expected to read once more.
func (candidate *Candidate) recomputedTokens() float64 {
	cached := candidate.CacheProbability * float64(min(candidate.CachedTokens, candidate.SharedTokens))
	return float64(candidate.SharedTokens) - cached
}

// ScoredCandidate is a candidate with its score.
type ScoredCandidate struct {
	Candidate Candidate `json:"Offer"`
	// FirstEventSeconds is the predicted time to the first event, in seconds.
	FirstEventSeconds float64 `json:"First"`
	// Score is greater the less the candidate costs, in seconds.
	Score float64 `json:"Net"`
	// Saturated says that the runner is saturated.
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

// queueingSeconds is how long the request waits for a slot: one beyond the slots waits for one of them to become free,
// one within shares the engine with the others.
func queueingSeconds(candidate *Candidate, weights CostWeights) float64 {
	slots := candidate.slots()
	return max(0, candidate.Load+1-slots) / slots * weights.SlotSeconds
}

// enabledCostWeights returns the cost weights without those of mechanisms that are switched off.
func (scheduler *Scheduler) enabledCostWeights() CostWeights {
	weights := scheduler.costWeights
	if scheduler.Without[features.RecomputeCost] {
		weights.Recompute = 0
	}
	if scheduler.Without[features.Interference] {
		weights.OthersDelay = 0
	}
	if scheduler.Without[features.ZonePreference] {
		weights.CrossZone, weights.CrossZoneTokens = 0, 0
	}
	return weights
}
