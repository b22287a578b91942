package scheduler

import "math/rand"

// Picker returns the index of the candidate to dispatch to, or -1 if every candidate is saturated.
type Picker func(requirements Requirements, scoredCandidates []ScoredCandidate, random *rand.Rand) int

// cachedRatio is the minimum ratio of a candidate's expected cached tokens to the maximum over all candidates for the
// candidate to count as having the prompt cached.
const cachedRatio = 0.6

// candidateGroup groups candidates by whether they probably have most of the prompt cached, and whether they are in the
// request's zone.
type candidateGroup struct{ cached, sameZone bool }

// sampleSizes is the number of candidates of each group that Sample compares.
var sampleSizes = map[candidateGroup]int{
	{cached: true, sameZone: true}:   3,
	{cached: true, sameZone: false}:  3,
	{cached: false, sameZone: true}:  4,
	{cached: false, sameZone: false}: 3,
}

// Sample is the default Picker. It draws a few candidates at random from each group and returns the best of them.
//
// Many daemons have the same outdated reports. If each took the best candidate, all would take the same one. Random
// draws spread them, and the best of a few is nearly as good as the best of all.
func Sample(requirements Requirements, scoredCandidates []ScoredCandidate, random *rand.Rand) int {
	mostCached := 0.0
	for index := range scoredCandidates {
		if scored := &scoredCandidates[index]; !scored.Saturated {
			mostCached = max(mostCached, scored.Candidate.expectedCachedTokens())
		}
	}
	best, drawn := -1, map[candidateGroup]int{}
	for _, index := range random.Perm(len(scoredCandidates)) {
		scored := &scoredCandidates[index]
		group := candidateGroup{
			cached:   mostCached > 0 && scored.Candidate.expectedCachedTokens() >= cachedRatio*mostCached,
			sameZone: scored.Candidate.Zone == requirements.Zone,
		}
		if scored.Saturated || drawn[group] >= sampleSizes[group] {
			continue
		}
		drawn[group]++
		if best < 0 || scored.Score > scoredCandidates[best].Score {
			best = index
		}
	}
	return best
}
