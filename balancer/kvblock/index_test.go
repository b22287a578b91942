package kvblock

import (
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"
)

// The number of keys and the number of runners for each key are bounded.
func TestIndexIsBoundedOnBothLevels(t *testing.T) {
	indexer := newIndexer(t, 64, 2)
	for number := range 1000 {
		indexer.Index.Add(started, indexer.Processor.BlockKeys([]string{strconv.Itoa(number)}, Extra{}), "r")
	}
	if keys := indexer.Index.Len(); keys > 64 {
		t.Fatalf("%d keys", keys)
	}
	key := indexer.Processor.BlockKeys([]string{"x"}, Extra{})
	for number := range 5 {
		indexer.Index.Add(started, key, fmt.Sprint("r", number))
	}
	holders := indexer.Index.Lookup(key, map[string]bool{"r0": true, "r3": true, "r4": true})
	if len(holders) != 1 || len(holders[0]) != 2 {
		t.Fatalf("holders %v", holders)
	}
}

// CachedPrefixes returns how many leading blocks each runner holds, and when the last of them was sent.
func TestCachedPrefixes(t *testing.T) {
	index := newIndexer(t, 64, 4).Index
	keys := []BlockKey{1, 2, 3}
	later := started.Add(time.Second)
	index.Add(started, keys, "complete")
	index.Add(later, keys[:2], "complete")
	index.Add(started, keys[:1], "partial")
	index.Add(started, keys[1:], "without the first")
	index.Add(started, keys, "other")
	prefixes := index.CachedPrefixes(keys, map[string]bool{"complete": true, "partial": true, "without the first": true})
	want := map[string]CachedPrefix{
		"complete": {Blocks: 3, LastUsed: started},
		"partial":  {Blocks: 1, LastUsed: started},
	}
	if !maps.Equal(prefixes, want) {
		t.Fatalf("cached prefixes: %v", prefixes)
	}
}

// A lookup in a full index keeps the block from being evicted next; a peek returns the same and does not.
func TestPeekDoesNotCountAsUse(t *testing.T) {
	// All keys are in the same shard.
	const first, second, third = BlockKey(1), BlockKey(1 + indexShards), BlockKey(1 + 2*indexShards)
	runners := map[string]bool{"r": true}
	for name, trial := range map[string]struct {
		lookup func(index *Index) map[string]CachedPrefix
		kept   bool
	}{
		"lookup": {func(index *Index) map[string]CachedPrefix {
			return index.CachedPrefixes([]BlockKey{first}, runners)
		}, true},
		"peek": {func(index *Index) map[string]CachedPrefix {
			return index.PeekCachedPrefixes([]BlockKey{first}, runners)
		}, false},
	} {
		index, err := NewIndex(2*indexShards, 1)
		if err != nil {
			t.Fatal(err)
		}
		index.Add(time.Unix(1, 0), []BlockKey{first, second}, "r")
		if found := trial.lookup(index); found["r"].Blocks != 1 {
			t.Errorf("%s: %v", name, found)
		}
		index.Add(time.Unix(2, 0), []BlockKey{third}, "r")
		if kept := len(index.PeekCachedPrefixes([]BlockKey{first}, runners)) > 0; kept != trial.kept {
			t.Errorf("%s: kept %v", name, kept)
		}
	}
}
