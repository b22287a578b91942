package emulator

import (
	"container/list"
	"fmt"
)

// Cache is an engine's prefix cache: it holds the blocks of prompt prefixes by their chained keys and evicts the least
// recently used block. It is not safe for concurrent use.
type Cache[Key comparable] struct {
	// capacity and used are in tokens.
	capacity int
	used     int
	// order lists the blocks, the least recently used first.
	order  *list.List
	blocks map[Key]*list.Element
}

type block[Key comparable] struct {
	key    Key
	tokens int
}

// NewCache returns an empty cache with a capacity in tokens.
func NewCache[Key comparable](capacity int) *Cache[Key] {
	return &Cache[Key]{capacity: capacity, order: list.New(), blocks: map[Key]*list.Element{}}
}

// Use returns the number of tokens in the leading blocks of a prefix that were cached, and caches all of its blocks.
// keys are the keys of the blocks, in order, and tokens the number of tokens of each block.
func (cache *Cache[Key]) Use(keys []Key, tokens []int) int {
	cached := cache.cachedTokens(keys, tokens)
	// The blocks are marked as used from the last to the first, so that the end of a prefix is evicted first.
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

// cachedTokens returns the number of tokens in the leading blocks of a prefix that are cached.
func (cache *Cache[Key]) cachedTokens(keys []Key, tokens []int) (cached int) {
	for index, key := range keys {
		if cache.blocks[key] == nil {
			break
		}
		cached += tokens[index]
	}
	return cached
}

// evict removes the least recently used block.
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

// ChainedKeys returns, for each part of a prefix, a key that identifies all parts up to and including it.
func ChainedKeys(parts []string) []string {
	keys, key := make([]string, len(parts)), ""
	for index, part := range parts {
		key += "\x00" + part
		keys[index] = key
	}
	return keys
}
