package kvblock

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// indexShards is the number of LRU caches, each with a lock of its own, that the keys are divided among.
const indexShards = 16

// holders are the runners that probably hold one block, with the time when each was last sent it.
type holders = lru.Cache[string, time.Time]

// blockCache leads from the keys of a shard to the holders of their blocks.
type blockCache = lru.Cache[BlockKey, *holders]

// Index is the two-level LRU: a key leads to the runners that probably hold its block. It is safe for concurrent use.
type Index struct {
	shards [indexShards]*blockCache
	// runners is the number of runners remembered for each key.
	runners int
}

// NewIndex returns an index of so many keys and runners a key.
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

// Add records that a runner stored blocks at a time.
func (index *Index) Add(now time.Time, keys []BlockKey, runner string) {
	for _, key := range keys {
		shard := index.shard(key)
		current, found := shard.Get(key)
		if !found {
			created, err := lru.New[string, time.Time](index.runners)
			if err != nil {
				// Only a size below 1 is an error; such an index stays empty.
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

// Evict removes a runner from a key.
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

// Lookup returns for each key, from the first until one that no runner of the set holds, the runners of the set that
// hold it.
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

// CachedPrefixes returns what each runner of a set probably holds of the prompt with these keys. Runners that hold
// nothing of it are missing.
func (index *Index) CachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return index.cachedPrefixes(keys, runners, (*blockCache).Get)
}

// PeekCachedPrefixes is CachedPrefixes for a dry run: the blocks do not count as used.
func (index *Index) PeekCachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return index.cachedPrefixes(keys, runners, (*blockCache).Peek)
}

// cachedPrefixes looks each block up by a method of its shard.
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
