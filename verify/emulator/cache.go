package emulator

import (
	"container/list"
	"fmt"
)

// Cache is an engine's prefix cache: blocks of prompts' openings by chained key. It evicts the block that was unused
// for longest. It is not safe for concurrent use.
type Cache[Key comparable] struct {
	// capacity and used are in tokens.
	capacity int
	used     int
	// order has the blocks from the one that was unused for longest to the one that was used last.
	order  *list.List
	blocks map[Key]*list.Element
}

type block[Key comparable] struct {
	key    Key
	tokens int
}

// NewCache returns an empty cache with room for so many tokens.
func NewCache[Key comparable](capacity int) *Cache[Key] {
	return &Cache[Key]{capacity: capacity, order: list.New(), blocks: map[Key]*list.Element{}}
}

// Use returns how many tokens of an opening were cached without a gap, and caches all of it. The keys are those of
// its blocks, in order, and tokens how many each block has.
func (cache *Cache[Key]) Use(keys []Key, tokens []int) int {
	cached := cache.cachedTokens(keys, tokens)
	// The first block of an opening is used last, so that an opening loses its end first.
	for index := len(keys) - 1; index >= 0; index-- {
		if element := cache.blocks[keys[index]]; element != nil {
			cache.order.MoveToBack(element)
			continue
		}
		cache.blocks[keys[index]] = cache.order.PushBack(block[Key]{keys[index], tokens[index]})
		cache.used += tokens[index]
	}
	for cache.used > cache.capacity {
		cache.evict()
	}
	return cached
}

// cachedTokens returns how many tokens of an opening are cached without a gap.
func (cache *Cache[Key]) cachedTokens(keys []Key, tokens []int) (cached int) {
	for index, key := range keys {
		if cache.blocks[key] == nil {
			break
		}
		cached += tokens[index]
	}
	return cached
}

// evict removes the block that was unused for longest.
func (cache *Cache[Key]) evict() {
	oldest := cache.order.Front()
	evicted, isBlock := oldest.Value.(block[Key])
	if !isBlock {
		panic(fmt.Sprintf("a cache holds a %T", oldest.Value))
	}
	cache.used -= evicted.tokens
	delete(cache.blocks, evicted.key)
	cache.order.Remove(oldest)
}

// Chained returns for each part the key of all parts up to it, as an engine's keys do.
func Chained(parts []string) []string {
	keys, key := make([]string, len(parts)), ""
	for index, part := range parts {
		key += "\x00" + part
		keys[index] = key
	}
	return keys
}
