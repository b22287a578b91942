package kvblock

import (
	"container/list"
	"sync/atomic"
	"time"
)

const (
	// IdleTTL is the time since its last use after which a block is assumed to be evicted.
	IdleTTL = 10 * time.Minute
	// InitialCapacity is the first estimate of a runner's cache capacity, in tokens.
	InitialCapacity = 400_000
	// minCapacity and maxCapacity bound the estimate of a runner's cache capacity, in tokens.
	minCapacity = 4_000
	maxCapacity = 50_000_000
	// capacityDecrease multiplies the estimate after a cache miss: a first token that came as late as without the blocks.
	capacityDecrease = 0.8
	// capacityIncrease multiplies the estimate after a cache hit while the cache was nearly full.
	capacityIncrease = 1.02
	// nearlyFull is the fraction of the estimated capacity above which a cache hit shows that the estimate is too small.
	nearlyFull = 0.9
)

// cacheTracker estimates what the runners of one worker have cached, and updates the index accordingly.
type cacheTracker struct {
	index *Index
	// inferredRemovals counts the blocks removed because of their age or the estimated capacity.
	inferredRemovals *atomic.Uint64
	caches           map[string]*runnerCache
}

func newCacheTracker(index *Index, inferredRemovals *atomic.Uint64) *cacheTracker {
	return &cacheTracker{index: index, inferredRemovals: inferredRemovals, caches: map[string]*runnerCache{}}
}

// store adds the blocks of a prompt that was sent to a runner.
func (tracker *cacheTracker) store(event BlockStored) {
	cache := tracker.caches[event.Runner]
	if cache == nil {
		cache = newRunnerCache()
		tracker.caches[event.Runner] = cache
	}
	// An engine evicts the last block of a prompt first, so the blocks are touched from the last to the first.
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

// removeRunner removes a runner and all its blocks.
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

// expire removes the blocks of a runner that have not been used for more than IdleTTL.
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

// adjustCapacity corrects the estimate of a runner's capacity after a first token that indicates a cache hit or a miss.
func (tracker *cacheTracker) adjustCapacity(runner string, hit bool) {
	cache := tracker.caches[runner]
	if cache == nil {
		return
	}
	if hit {
		// Only a hit near the estimated capacity shows that the estimate is too small.
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

// runnerCache is the estimated content of one runner's cache.
type runnerCache struct {
	// blocks holds the cachedBlocks, the least recently used first; elements holds its elements by key.
	blocks   *list.List
	elements map[BlockKey]*list.Element
	// tokens is the total size of the blocks, capacity the estimated maximum of it, both in tokens.
	tokens   int
	capacity float64
}

// cachedBlock is a block that a runner probably has cached.
type cachedBlock struct {
	key      BlockKey
	tokens   int
	lastUsed time.Time
}

func newRunnerCache() *runnerCache {
	return &runnerCache{blocks: list.New(), elements: map[BlockKey]*list.Element{}, capacity: InitialCapacity}
}

// touch makes a block the most recently used one, and adds it if it is new.
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
