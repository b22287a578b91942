package emulator

import (
	"container/list"
	"fmt"
)

// Cache is an engine's: blocks of prompts' openings by chained key, the longest unused let go first.
type Cache[Key comparable] struct {
	room   int
	used   int
	order  *list.List
	places map[Key]*list.Element
}

type block[Key comparable] struct {
	key    Key
	tokens int
}

// NewCache makes an empty cache with room for so many tokens.
func NewCache[Key comparable](room int) *Cache[Key] {
	return &Cache[Key]{room: room, order: list.New(), places: map[Key]*list.Element{}}
}

// Use returns how many tokens of an opening were held without a gap, and holds all of it from now on.
func (cache *Cache[Key]) Use(keys []Key, tokens []int) int {
	held, complete := 0, true
	for index, key := range keys {
		if complete = complete && cache.places[key] != nil; complete {
			held += tokens[index]
		}
	}
	for index := len(keys) - 1; index >= 0; index-- {
		if element := cache.places[keys[index]]; element != nil {
			cache.order.MoveToBack(element)
			continue
		}
		cache.places[keys[index]] = cache.order.PushBack(block[Key]{keys[index], tokens[index]})
		cache.used += tokens[index]
	}
	for cache.used > cache.room {
		oldest := cache.order.Front()
		evicted, isBlock := oldest.Value.(block[Key])
		if !isBlock {
			panic(fmt.Sprintf("a cache holds a %T", oldest.Value))
		}
		cache.used -= evicted.tokens
		delete(cache.places, evicted.key)
		cache.order.Remove(oldest)
	}
	return held
}

// Chained returns each part the name of all before it, as an engine's keys do.
func Chained(parts []string) []string {
	keys, key := make([]string, len(parts)), ""
	for index, part := range parts {
		key += "\x00" + part
		keys[index] = key
	}
	return keys
}
