package kvblock

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// indexShards is the number of LRU caches, each with a lock of its own, that the keys are divided among.
const indexShards = 16

// holders maps the runners that probably hold one block to the time when the block was last sent to each.
type holders = lru.Cache[string, time.Time]

// blockCache maps the keys of one shard to the holders of their blocks.
type blockCache = lru.Cache[BlockKey, *holders]

// Index is a two-level LRU that maps each key to the runners that probably hold its block. It is safe for concurrent
// use.
type Index struct {
	shards [indexShards]*blockCache
	// runners is the maximum number of runners for each key.
	runners int
}

// NewIndex returns an index that holds about that many keys, and at most that many runners for each key.
func NewIndex(keys, runners int) (*Index, error) {
	index := &Index{runners: runners}
	for number := range index.shards {
		cache, err := lru.New[BlockKey, *holders](max(1, keys/indexShards))
		if err != nil {
			return nil, err
		}
		index.shards[number] = cache
	}
	return index, nil
}

func (index *Index) shard(key BlockKey) *blockCache {
	return index.shards[uint64(key)%indexShards]
}

// Add records that a runner stored blocks at the time now.
func (index *Index) Add(now time.Time, keys []BlockKey, runner string) {
	for _, key := range keys {
		shard := index.shard(key)
		current, found := shard.Get(key)
		if !found {
			created, err := lru.New[string, time.Time](index.runners)
			if err != nil {
				// The only error is a size below 1; such an index stays empty.
				return
			}
			current = created
			if previous, existed, _ := shard.PeekOrAdd(key, created); existed {
				current = previous
			}
		}
		current.Add(runner, now)
	}
}

// Evict removes a runner from the holders of a key.
func (index *Index) Evict(key BlockKey, runner string) {
	shard := index.shard(key)
	current, found := shard.Peek(key)
	if !found {
		return
	}
	current.Remove(runner)
	if current.Len() == 0 {
		shard.Remove(key)
	}
}

// Lookup returns the holders among the given runners for each leading key. It stops before the first key that none of
// them holds.
func (index *Index) Lookup(keys []BlockKey, runners map[string]bool) [][]string {
	var holdersByBlock [][]string
	for _, key := range keys {
		current, found := index.shard(key).Get(key)
		if !found {
			return holdersByBlock
		}
		var matching []string
		for _, runner := range current.Keys() {
			if runners[runner] {
				matching = append(matching, runner)
			}
		}
		if len(matching) == 0 {
			return holdersByBlock
		}
		holdersByBlock = append(holdersByBlock, matching)
	}
	return holdersByBlock
}

// CachedPrefixes returns the leading part of the prompt with these keys that each of the given runners probably holds.
// Runners that hold none of it are missing.
func (index *Index) CachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return index.cachedPrefixes(keys, runners, (*blockCache).Get)
}

// PeekCachedPrefixes is like CachedPrefixes but does not count as a use of the blocks, for dry runs.
func (index *Index) PeekCachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return index.cachedPrefixes(keys, runners, (*blockCache).Peek)
}

// cachedPrefixes implements CachedPrefixes with the given lookup method of a shard.
func (index *Index) cachedPrefixes(
	keys []BlockKey, runners map[string]bool, lookup func(*blockCache, BlockKey) (*holders, bool),
) map[string]CachedPrefix {
	prefixes := map[string]CachedPrefix{}
	for number, key := range keys {
		current, found := lookup(index.shard(key), key)
		if !found {
			return prefixes
		}
		for _, runner := range current.Keys() {
			if runners[runner] && prefixes[runner].Blocks == number {
				lastUsed, _ := current.Peek(runner)
				prefixes[runner] = CachedPrefix{Blocks: number + 1, LastUsed: lastUsed}
			}
		}
	}
	return prefixes
}

// Len returns the number of keys in the index.
func (index *Index) Len() int {
	count := 0
	for _, shard := range index.shards {
		count += shard.Len()
	}
	return count
}
