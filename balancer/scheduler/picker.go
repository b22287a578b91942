package scheduler

import "math/rand"

// Picker returns the index of the candidate to take, or -1 where every runner is saturated.
type Picker func(requirements Requirements, scoredCandidates []ScoredCandidate, random *rand.Rand) int

// cachedRatio is the part of the most that any runner is expected to have cached of the prompt, from which on a runner
// counts as one that has it cached.
const cachedRatio = 0.6

// candidateGroup divides candidates by whether they probably have most of the prompt cached, and whether they are in
// the request's zone.
type candidateGroup struct{ cached, sameZone bool }

// sampleSizes are how many candidates of each group are compared.
var sampleSizes = map[candidateGroup]int{
	{cached: true, sameZone: true}:   3,
	{cached: true, sameZone: false}:  3,
	{cached: false, sameZone: true}:  4,
	{cached: false, sameZone: false}: 3,
}

// Sample is the default Picker: the best of a few candidates drawn at random from each group.
//
// Many daemons know the same old reports. If each took the best of all, they would all take the same one; drawn at
// random they spread, and the better of a few is nearly as good as the best.
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
