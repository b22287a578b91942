package emulator

import (
	"slices"
	"testing"
)

func TestCacheUse(t *testing.T) {
	type use struct {
		keys   []string
		tokens []int
		cached int
	}
	for name, uses := range map[string][]use{
		"nothing is cached at first": {
			{[]string{"a", "b"}, []int{10, 20}, 0},
		},
		"all of a prefix is cached after its use": {
			{[]string{"a", "b"}, []int{10, 20}, 0},
			{[]string{"a", "b"}, []int{10, 20}, 30},
		},
		"a gap ends what counts as cached": {
			{[]string{"a", "c"}, []int{10, 20}, 0},
			{[]string{"a", "b", "c"}, []int{10, 20, 20}, 10},
		},
		"the end of a prefix is evicted first": {
			{[]string{"a", "b"}, []int{10, 80}, 0},
			{[]string{"x"}, []int{20}, 0},
			{[]string{"a", "b"}, []int{10, 80}, 10},
		},
		"the least recently used prefix is evicted": {
			{[]string{"a"}, []int{50}, 0},
			{[]string{"b"}, []int{50}, 0},
			{[]string{"a"}, []int{50}, 50},
			{[]string{"c"}, []int{50}, 0},
			{[]string{"a"}, []int{50}, 50},
			{[]string{"b"}, []int{50}, 0},
		},
		"a prefix larger than the cache is not kept complete": {
			{[]string{"a", "b"}, []int{60, 60}, 0},
			{[]string{"a", "b"}, []int{60, 60}, 60},
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := NewCache[string](100)
			for number, use := range uses {
				if cached := cache.Use(use.keys, use.tokens); cached != use.cached {
					t.Errorf("use %d: %d tokens were cached, want %d", number, cached, use.cached)
				}
				if cache.used > cache.capacity {
					t.Errorf("use %d: the cache holds %d tokens, more than its capacity of %d", number, cache.used, cache.capacity)
				}
			}
		})
	}
}

func TestChainedKeysTellOpeningsApart(t *testing.T) {
	first, second := ChainedKeys([]string{"a", "b", "c"}), ChainedKeys([]string{"a", "x", "c"})
	if first[0] != second[0] || first[1] == second[1] || first[2] == second[2] {
		t.Errorf("keys %q and %q, want only the first to be equal", first, second)
	}
	if slices.Equal(ChainedKeys([]string{"a", "bc"}), ChainedKeys([]string{"ab", "c"})) {
		t.Error("parts whose concatenations are equal have the same keys")
	}
}
