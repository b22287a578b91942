package scheduler

import (
	"math"

	"wardtray/balancer/load"
)

const (
	// memoryLimit is the part of a runner's memory above which requests are likely to be rejected.
	memoryLimit = 0.92
	// memoryExcessCost is the cost in seconds of exceeding it by the whole memory.
	memoryExcessCost = 10
	// occupancyWeight weighs the part of a runner's slots that is occupied against the time that a slot is occupied.
	occupancyWeight = 0.02
	// nearlyFullCost, in seconds, is for the risk that a runner is full when the prompt gets there, from nearlyFullFrom
	// of its slots on; a request that it rejects may find no second runner.
	nearlyFullCost, nearlyFullFrom = 4.0, 0.4
	// maxOccupancy bounds how far a runner counts as occupied, as a part of its slots.
	maxOccupancy = 2
)

// runnerCapacity is how many requests a runner may have: its slots and a short queue.
func runnerCapacity(runner *load.Runner) int {
	return runner.Slots + max(1, runner.Slots/2)
}

// saturated reports whether a runner may have no more requests of ours now.
func saturated(runner *load.Runner) bool {
	// Smoothed reports stay high for seconds after an overload has ended; no request is rejected for those.
	return runner.LatestLoad >= float64(runnerCapacity(runner)) || runner.InFlight >= runner.Limit
}

func (candidate *Candidate) slots() float64 {
	return float64(max(1, candidate.Slots))
}

// memoryExcess is by how much the request would fill a runner's memory beyond memoryLimit, as a part of the memory.
func memoryExcess(requirements *Requirements, candidate *Candidate) float64 {
	if candidate.MemoryTokens == 0 {
		return 0
	}
	used := float64(candidate.UsedTokens + requirements.PromptTokens + requirements.AnswerTokens/2)
	return max(0, used/float64(candidate.MemoryTokens)-memoryLimit)
}

// occupancyCost makes a nearly idle runner cheaper than a half full one by a little, growing steeply towards its last
// slot, so that requests with a hot prefix spill over to other runners before they queue at one.
func occupancyCost(candidate *Candidate, weights CostWeights) float64 {
	occupied := math.Min(maxOccupancy, (candidate.Load+candidate.UnreportedRequests)/candidate.slots())
	return weights.SlotSeconds*occupancyWeight*occupied*occupied +
		nearlyFullCost*math.Pow(max(0, occupied-nearlyFullFrom), 2)
}
