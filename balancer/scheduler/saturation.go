package scheduler

import (
	"math"

	"wardtray/balancer/load"
)

const (
	// memoryLimit is the fraction of a runner's memory above which it is likely to reject requests.
	memoryLimit = 0.92
	// memoryExcessCost is the cost, in seconds, of exceeding memoryLimit by as much as the complete memory.
	memoryExcessCost = 10
	// occupancyWeight is the cost of a fully occupied runner, as a fraction of the time for which a slot is occupied.
	occupancyWeight = 0.02
	// nearlyFullCost, in seconds, weighs the risk that a runner is full when the prompt arrives: the runner then rejects
	// the request, and there may be no other runner for it. It applies above an occupancy of nearlyFullFrom.
	nearlyFullCost, nearlyFullFrom = 4.0, 0.4
	// maxOccupancy is the upper bound of a runner's occupancy, as a ratio of requests to slots.
	maxOccupancy = 2
)

// runnerCapacity returns the number of requests that a runner may have: its slots and a short queue.
func runnerCapacity(runner *load.Runner) int {
	return runner.Slots + max(1, runner.Slots/2)
}

// saturated reports whether this daemon may not send a runner any more requests now.
func saturated(runner *load.Runner) bool {
	// The smoothed load stays high for seconds after an overload has ended, so it must not cause rejections.
	return runner.LatestLoad >= float64(runnerCapacity(runner)) || runner.InFlight >= runner.Limit
}

func (candidate *Candidate) slots() float64 {
	return float64(max(1, candidate.Slots))
}

// memoryExcess returns how far the request would fill a runner's memory beyond memoryLimit, as a fraction of the
// memory.
func memoryExcess(requirements *Requirements, candidate *Candidate) float64 {
	if candidate.MemoryTokens == 0 {
		return 0
	}
	used := float64(candidate.UsedTokens + requirements.PromptTokens + requirements.MaxResponseTokens/2)
	return max(0, used/float64(candidate.MemoryTokens)-memoryLimit)
}

// occupancyCost returns the cost, in seconds, of the occupancy of a runner. It is small between a nearly idle runner
// and a half full one and grows steeply towards the last slot, so that requests with a hot prefix spill over to other
// runners before they queue at one.
func occupancyCost(candidate *Candidate, weights CostWeights) float64 {
	occupied := math.Min(maxOccupancy, (candidate.Load+candidate.UnreportedRequests)/candidate.slots())
	return weights.SlotSeconds*occupancyWeight*occupied*occupied +
		nearlyFullCost*math.Pow(max(0, occupied-nearlyFullFrom), 2)
}
