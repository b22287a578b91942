package scheduler

import (
	"sort"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
)

const (
	// homeSpread is how many times its proportional part of the runners a prefix has as homes.
	homeSpread = 2.0
	// homeProbability is how likely a home has its prefix cached, spillProbability the runner next to the homes.
	homeProbability, spillProbability = 0.85, 0.3
	// warmedUpEvents is how many first events a daemon must have seen to know its traffic.
	warmedUpEvents = 2
)

// prefixKey is the key under which a prompt's shared parts are looked up; the last part is the request's own.
func prefixKey(keys []kvblock.BlockKey) kvblock.BlockKey {
	if len(keys) == 0 {
		return 0
	}
	return keys[max(0, len(keys)-2)]
}

// homeProbabilities returns for some runners of a group how likely they have a prompt's shared prefix cached because
// every daemon sends the prefix there. All daemons agree on the homes of a prefix without a message.
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

// homeCount is how many of the runners are homes of a prefix.
func (scheduler *Scheduler) homeCount(prefix kvblock.BlockKey, daemons int, group []load.Runner) int {
	homes := 1 + int(homeSpread*scheduler.forecast.prefixRatio(prefix)*float64(len(group)))
	if len(group) == 0 {
		return homes
	}
	// A daemon can't see that others send the same prefix. Even if each sends one at once, the homes have room.
	capacity := runnerCapacity(&group[0])
	needed := daemons / capacity
	if scheduler.forecast.firstEvents < warmedUpEvents {
		// Daemons that start together send the first requests of several prefixes at once.
		needed = 2 * daemons / capacity
	}
	return max(homes, needed)
}

// rendezvousOrder orders runners by a hash of a key and their IDs, the same at every daemon (rendezvous hashing). A
// runner that is added or removed changes the order of no others.
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
	// fnvOffset and fnvPrime are those of FNV-1a with 64 bits.
	fnvOffset, fnvPrime = 14695981039346656037, 1099511628211
	// mixShift and the multipliers are those of MurmurHash3's 64-bit finalizer.
	mixShift                    = 33
	mixMultiplier, mixFinalizer = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
)

// rendezvousWeight is FNV-1a over an ID, mixed with a key. Every daemon must compute the same.
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
