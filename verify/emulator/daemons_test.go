package emulator

import (
	"maps"
	"slices"
	"testing"
)

func TestDaemonPoolPicksReadyDaemonsOfTheZoneFirst(t *testing.T) {
	byZone := map[string][]string{"a": {"a1", "a2", "a3"}, "b": {"b1", "b2"}}
	for name, test := range map[string]struct {
		ready []string
		want  []string
	}{
		"none is ready":             {nil, []string{""}},
		"one in the zone":           {[]string{"a2", "b1"}, []string{"a2"}},
		"several in the zone":       {[]string{"a1", "a3", "b1"}, []string{"a1", "a3"}},
		"only in another zone":      {[]string{"b1", "b2"}, []string{"b1", "b2"}},
		"one that left, in another": {[]string{"b2"}, []string{"b2"}},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newDaemonPool(byZone, 1)
			for _, address := range pool.addresses() {
				pool.setReady(address, true)
			}
			for _, address := range pool.addresses() {
				pool.setReady(address, slices.Contains(test.ready, address))
			}
			picked := map[string]bool{}
			for range 100 {
				picked[pool.pick("a")] = true
			}
			if addresses := slices.Sorted(maps.Keys(picked)); !slices.Equal(addresses, test.want) {
				t.Errorf("picked %q, want %q", addresses, test.want)
			}
		})
	}
}
