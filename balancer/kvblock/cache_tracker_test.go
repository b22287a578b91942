package kvblock

import (
	"strconv"
	"testing"
	"time"
)

// Every sign of an eviction removes the blocks from the index: a full cache, a late first token, a rejected request,
// age, and the removal of the runner. Otherwise the scheduler would expect cached prefixes where there are none.
func TestRemovalsAreInferred(t *testing.T) {
	indexer := newIndexer(t, 100_000, 16)
	runners := map[string]bool{"r": true, "s": true}
	prompt := func(number int) []BlockKey {
		return indexer.Processor.BlockKeys([]string{"system", strconv.Itoa(number)}, Extra{})
	}
	score := func(number int) int { return indexer.Score(prompt(number), runners)["r"] }
	store := func(at time.Time, number int) {
		indexer.Pool.Add(BlockStored{Runner: "r", Now: at, Keys: prompt(number), Tokens: []int{1000, 9000}})
	}
	for number := range 60 {
		store(started, number)
	}
	if score(0) != 1 || score(59) != 2 {
		t.Fatalf("capacity: the oldest scores %d, the newest %d", score(0), score(59))
	}
	indexer.Pool.Add(ReuseObserved{Runner: "r", Keys: prompt(40), Hit: false})
	if score(24) != 1 || score(59) != 2 {
		t.Fatalf("a late first token: block 24 scores %d, the newest %d", score(24), score(59))
	}
	indexer.Pool.Add(BlockRemoved{Runner: "r", Keys: prompt(59)})
	if score(59) != 0 {
		t.Fatal("the blocks of a rejected request are still in the index")
	}
	store(started.Add(IdleTTL), 70)
	indexer.Pool.Add(IdleBlocksExpired{Runner: "r", Now: started.Add(IdleTTL + time.Minute)})
	if score(58) != 1 || score(70) != 2 {
		t.Fatalf("age: an old prompt scores %d, a recent one %d", score(58), score(70))
	}
	indexer.Pool.Add(AllBlocksCleared{Runner: "r"})
	if score(70) != 2 {
		t.Fatal("AllBlocksCleared removed blocks")
	}
	indexer.Pool.Add(RunnerRemoved{Runner: "r"})
	if score(70) != 0 || indexer.Index.Len() != 0 {
		t.Fatalf("%d keys are left after the runner was removed", indexer.Index.Len())
	}
}

// Blocks are ordered by their last use, and the token count follows additions and removals.
func TestRunnerCacheOrdersBlocksByUse(t *testing.T) {
	cache := newRunnerCache()
	cache.touch(1, 100, started)
	cache.touch(2, 200, started)
	cache.touch(1, 100, started.Add(time.Second))
	if oldest := cache.oldest(); oldest.key != 2 || cache.tokens != 300 {
		t.Fatalf("oldest %d, %d tokens", oldest.key, cache.tokens)
	}
	cache.remove(2)
	cache.remove(2)
	if oldest := cache.oldest(); oldest.key != 1 || cache.tokens != 100 {
		t.Fatalf("after a removal: oldest %d, %d tokens", oldest.key, cache.tokens)
	}
	cache.remove(1)
	if cache.oldest() != nil || cache.tokens != 0 {
		t.Fatalf("an empty cache has %d tokens", cache.tokens)
	}
}

// A late first token lowers the capacity estimate; an early one raises it only when the cache is nearly full.
func TestCapacityFollowsFirstTokens(t *testing.T) {
	for name, step := range map[string]struct {
		tokens int
		hit    bool
		want   float64
	}{
		"early, half full":   {InitialCapacity / 2, true, InitialCapacity},
		"early, nearly full": {InitialCapacity, true, InitialCapacity * capacityIncrease},
		"late":               {InitialCapacity / 2, false, InitialCapacity / 2 * capacityDecrease},
		"late, almost empty": {1, false, minCapacity},
	} {
		indexer := newIndexer(t, 64, 4)
		indexer.Pool.Add(BlockStored{Runner: "r", Now: started, Keys: []BlockKey{1}, Tokens: []int{step.tokens}})
		indexer.Pool.Add(ReuseObserved{Runner: "r", Hit: step.hit})
		if capacity := indexer.Pool.workers[0].tracker.caches["r"].capacity; capacity != step.want {
			t.Errorf("%s: capacity %v, want %v", name, capacity, step.want)
		}
	}
}
