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
		"all of an opening is cached after its use": {
			{[]string{"a", "b"}, []int{10, 20}, 0},
			{[]string{"a", "b"}, []int{10, 20}, 30},
		},
		"a gap ends what counts as cached": {
			{[]string{"a", "c"}, []int{10, 20}, 0},
			{[]string{"a", "b", "c"}, []int{10, 20, 20}, 10},
		},
		"an opening loses its end first": {
			{[]string{"a", "b"}, []int{10, 80}, 0},
			{[]string{"x"}, []int{20}, 0},
			{[]string{"a", "b"}, []int{10, 80}, 10},
		},
		"the opening that was unused for longest is evicted": {
			{[]string{"a"}, []int{50}, 0},
			{[]string{"b"}, []int{50}, 0},
			{[]string{"a"}, []int{50}, 50},
			{[]string{"c"}, []int{50}, 0},
			{[]string{"a"}, []int{50}, 50},
			{[]string{"b"}, []int{50}, 0},
		},
		"an opening larger than the cache is not kept complete": {
			{[]string{"a", "b"}, []int{60, 60}, 0},
			{[]string{"a", "b"}, []int{60, 60}, 60},
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := NewCache[string](100)
			for number, use := range uses {
				if cached := cache.Use(use.keys, use.tokens); cached != use.cached {
					t.Errorf("use %d: %d tokens were cached instead of %d", number, cached, use.cached)
				}
				if cache.used > cache.capacity {
					t.Errorf("use %d: %d tokens are kept in a room for %d", number, cache.used, cache.capacity)
				}
			}
		})
	}
}

func TestChainedKeysTellOpeningsApart(t *testing.T) {
	first, second := Chained([]string{"a", "b", "c"}), Chained([]string{"a", "x", "c"})
	if first[0] != second[0] || first[1] == second[1] || first[2] == second[2] {
		t.Errorf("%q and %q", first, second)
	}
	if slices.Equal(Chained([]string{"a", "bc"}), Chained([]string{"ab", "c"})) {
		t.Error("parts that join to the same text have the same keys")
	}
}
