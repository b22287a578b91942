package gossip

import (
	"testing"

	"wardtray/wire"
)

func TestNewer(t *testing.T) {
	entry := func(epoch, count uint64, writer string) *wire.GossipEntry {
		return &wire.GossipEntry{Epoch: epoch, Count: count, Writer: writer}
	}
	ascending := []*wire.GossipEntry{
		nil,
		entry(0, 0, ""),
		entry(1, 5, "z"),
		entry(2, 0, "a"),
		entry(2, 1, "a"),
		entry(2, 1, "b"),
	}
	for left := 1; left < len(ascending); left++ {
		for right := range ascending {
			if got := newer(ascending[left], ascending[right]); got != (left > right) {
				t.Errorf("newer(%v, %v) = %v", ascending[left], ascending[right], got)
			}
		}
	}
}

func TestZonedKeysStayInTheirZone(t *testing.T) {
	for _, test := range []struct {
		zone, key string
		want      bool
	}{
		{"a", "document", true},
		{"a", "z/a/list", true},
		{"a", "z/b/list", false},
		{"a", "z/ab/list", false},
		{"ab", "z/a/list", false},
	} {
		if got := mayEnter(test.zone, test.key); got != test.want {
			t.Errorf("mayEnter(%s, %s) = %v", test.zone, test.key, got)
		}
	}
}
