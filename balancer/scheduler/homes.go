package scheduler

import (
	"sort"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
)

const (
	// homeSpread is the ratio of a prefix's number of homes to its proportional share of the runners. The homes of a
	// prefix are the runners to which all daemons prefer to send it.
	homeSpread = 2.0
	// homeProbability is the probability that a home has its prefix cached, spillProbability that of the first runner
	// after the homes in rendezvous order.
	homeProbability, spillProbability = 0.85, 0.3
	// warmedUpEvents is the number of first events after which a daemon's traffic statistics are used on their own.
	warmedUpEvents = 2
)

// prefixKey returns the key of a prompt's shared prefix: all its parts but the last, which only this request has.
func prefixKey(keys []kvblock.BlockKey) kvblock.BlockKey {
	if len(keys) == 0 {
		return 0
	}
	return keys[max(0, len(keys)-2)]
}

// homeProbabilities returns the probabilities that runners of a group have a prompt's shared prefix cached because
// every daemon sends the prefix to its homes. All daemons agree on the homes of a prefix without exchanging messages.
func (scheduler *Scheduler) homeProbabilities(
	request *QueuedRequest, cycle *SchedulingContext, group []load.Runner, shared int,
) map[string]float64 {
	probabilities := map[string]float64{}
	if shared == 0 || cycle.Daemons <= 1 {
		return probabilities
	}
	prefix := prefixKey(request.Keys)
	homes := scheduler.homeCount(prefix, cycle.Daemons, group)
	for index, id := range rendezvousOrder(group, uint64(prefix)) {
		if index < homes {
			probabilities[id] = homeProbability
		} else if index == homes {
			probabilities[id] = spillProbability
		}
	}
	return probabilities
}

// homeCount returns the number of runners in the group that are homes of a prefix.
func (scheduler *Scheduler) homeCount(prefix kvblock.BlockKey, daemons int, group []load.Runner) int {
	homes := 1 + int(homeSpread*scheduler.forecast.prefixRatio(prefix)*float64(len(group)))
	if len(group) == 0 {
		return homes
	}
	// A daemon does not see that others send the same prefix. The homes must have capacity for one request of every
	// daemon at the same time.
	capacity := runnerCapacity(&group[0])
	needed := daemons / capacity
	if scheduler.forecast.firstEvents < warmedUpEvents {
		// Daemons that start at the same time send the first requests of several prefixes at once.
		needed = 2 * daemons / capacity
	}
	return max(homes, needed)
}

// rendezvousOrder returns the runners' IDs in the order of rendezvous hashing for a key, which is the same at every
// daemon. Adding or removing a runner does not change the order of the others.
func rendezvousOrder(runners []load.Runner, key uint64) []string {
	type weightedRunner struct {
		id     string
		weight uint64
	}
	weighted := make([]weightedRunner, len(runners))
	for index := range runners {
		id := runners[index].ID
		weighted[index] = weightedRunner{id, rendezvousWeight(id, key)}
	}
	sort.Slice(weighted, func(left, right int) bool { return weighted[left].weight > weighted[right].weight })
	ids := make([]string, len(weighted))
	for index, runner := range weighted {
		ids[index] = runner.id
	}
	return ids
}

const (
	// fnvOffset and fnvPrime are the constants of 64-bit FNV-1a.
	fnvOffset, fnvPrime = 14695981039346656037, 1099511628211
	// mixShift, mixMultiplier and mixFinalizer are the constants of MurmurHash3's 64-bit finalizer.
	mixShift                    = 33
	mixMultiplier, mixFinalizer = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
)

// rendezvousWeight returns the FNV-1a hash of an ID mixed with a key. All daemons must compute the same value.
func rendezvousWeight(id string, key uint64) uint64 {
	hash := uint64(fnvOffset)
	for index := range len(id) {
		hash = (hash ^ uint64(id[index])) * fnvPrime
	}
	hash ^= key
	hash ^= hash >> mixShift
	hash *= mixMultiplier
	hash ^= hash >> mixShift
	hash *= mixFinalizer
	return hash ^ hash>>mixShift
}
