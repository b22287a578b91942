package kvblock

import (
	"container/list"
	"sync/atomic"
	"time"
)

const (
	// IdleTTL is how long an unused block is taken to be cached.
	IdleTTL = 10 * time.Minute
	// InitialCapacity is the first estimate of a runner's cache capacity, in tokens.
	InitialCapacity = 400_000
	// minCapacity and maxCapacity bound the estimate of a runner's cache capacity, in tokens.
	minCapacity = 4_000
	maxCapacity = 50_000_000
	// capacityDecrease is the factor of the estimate after a first token that came as late as without the blocks.
	capacityDecrease = 0.8
	// capacityIncrease is the factor of the estimate after one that came early while the cache was nearly full.
	capacityIncrease = 1.02
	// nearlyFull is the part of the estimated capacity from which on an early first token says that it is too small.
	nearlyFull = 0.9
)

// cacheTracker estimates what the runners of one worker have cached, and keeps the index in step with it.
type cacheTracker struct {
	index *Index
	// inferredRemovals counts the blocks removed by an estimate.
	inferredRemovals *atomic.Uint64
	caches           map[string]*runnerCache
}

func newCacheTracker(index *Index, inferredRemovals *atomic.Uint64) *cacheTracker {
	return &cacheTracker{index: index, inferredRemovals: inferredRemovals, caches: map[string]*runnerCache{}}
}

// store adds the blocks of a prompt that a runner was sent.
func (tracker *cacheTracker) store(event BlockStored) {
	cache := tracker.caches[event.Runner]
	if cache == nil {
		cache = newRunnerCache()
		tracker.caches[event.Runner] = cache
	}
	// The last block of a prompt is the first that an engine evicts, so the first block is touched last and outlives it.
	for index := len(event.Keys) - 1; index >= 0; index-- {
		cache.touch(event.Keys[index], event.Tokens[index], event.Now)
	}
	tracker.index.Add(event.Now, event.Keys, event.Runner)
	tracker.evictExcess(cache, event.Runner)
}

// removeBlocks removes blocks that a runner does not hold.
func (tracker *cacheTracker) removeBlocks(runner string, keys []BlockKey) {
	cache := tracker.caches[runner]
	if cache == nil {
		return
	}
	for _, key := range keys {
		tracker.remove(cache, runner, key)
	}
}

// removeRunner removes all that is known of a runner.
func (tracker *cacheTracker) removeRunner(runner string) {
	cache := tracker.caches[runner]
	if cache == nil {
		return
	}
	for key := range cache.elements {
		tracker.index.Evict(key, runner)
	}
	delete(tracker.caches, runner)
}

// expire removes the blocks of a runner that were not used for IdleTTL.
func (tracker *cacheTracker) expire(runner string, now time.Time) {
	cache := tracker.caches[runner]
	if cache == nil {
		return
	}
	for oldest := cache.oldest(); oldest != nil && now.Sub(oldest.lastUsed) > IdleTTL; oldest = cache.oldest() {
		tracker.inferredRemovals.Add(1)
		tracker.remove(cache, runner, oldest.key)
	}
}

// adjustCapacity corrects the estimate of a runner's capacity by what a first token showed.
func (tracker *cacheTracker) adjustCapacity(runner string, hit bool) {
	cache := tracker.caches[runner]
	if cache == nil {
		return
	}
	if hit {
		// Only hits near the capacity say that the estimate is too small.
		if float64(cache.tokens) > nearlyFull*cache.capacity {
			cache.capacity = min(maxCapacity, cache.capacity*capacityIncrease)
		}
		return
	}
	cache.capacity = max(minCapacity, min(cache.capacity, float64(cache.tokens))*capacityDecrease)
	tracker.evictExcess(cache, runner)
}

// evictExcess removes the least recently used blocks until the rest fit the estimated capacity.
func (tracker *cacheTracker) evictExcess(cache *runnerCache, runner string) {
	for float64(cache.tokens) > cache.capacity {
		oldest := cache.oldest()
		if oldest == nil {
			return
		}
		tracker.inferredRemovals.Add(1)
		tracker.remove(cache, runner, oldest.key)
	}
}

func (tracker *cacheTracker) remove(cache *runnerCache, runner string, key BlockKey) {
	cache.remove(key)
	tracker.index.Evict(key, runner)
}

// runnerCache is what one runner is estimated to have cached.
type runnerCache struct {
	// blocks are the cachedBlocks, the least recently used first.
	blocks   *list.List
	elements map[BlockKey]*list.Element
	// tokens is the size of all blocks, capacity the estimated bound of it.
	tokens   int
	capacity float64
}

// cachedBlock is a block that a runner probably holds.
type cachedBlock struct {
	key      BlockKey
	tokens   int
	lastUsed time.Time
}

func newRunnerCache() *runnerCache {
	return &runnerCache{blocks: list.New(), elements: map[BlockKey]*list.Element{}, capacity: InitialCapacity}
}

// touch makes a block the most recently used, and adds it if it is new.
func (cache *runnerCache) touch(key BlockKey, tokens int, now time.Time) {
	if element := cache.elements[key]; element != nil {
		blockOf(element).lastUsed = now
		cache.blocks.MoveToBack(element)
		return
	}
	cache.elements[key] = cache.blocks.PushBack(&cachedBlock{key: key, tokens: tokens, lastUsed: now})
	cache.tokens += tokens
}

func (cache *runnerCache) remove(key BlockKey) {
	element := cache.elements[key]
	if element == nil {
		return
	}
	cache.tokens -= blockOf(element).tokens
	cache.blocks.Remove(element)
	delete(cache.elements, key)
}

// oldest returns the least recently used block, or nil if there is none.
func (cache *runnerCache) oldest() *cachedBlock {
	front := cache.blocks.Front()
	if front == nil {
		return nil
	}
	return blockOf(front)
}

func blockOf(element *list.Element) *cachedBlock {
	block, _ := element.Value.(*cachedBlock) // The list holds nothing else.
	return block
}
