package simulation

import (
	"fmt"
	"sort"
	"strings"
	"testing"
)

// The idle traffic of the processes of a small and a large deployment is bounded.
func TestIdleCost(t *testing.T) {
	eighty := Shape{
		Zones: []string{"a", "b", "c", "d"}, Machines: []int{20, 20, 20, 20}, Disks: []int{2, 2, 2, 2}, Faults: 2,
	}
	t.Parallel()
	for _, one := range []struct {
		name  string
		shape Shape
		// The largest number of messages per second that a daemon and a control node send and receive, and of bytes of a
		// daemon.
		data, core, bytes float64
	}{
		{"12 daemons", Guild, 16, 120, 2500},
		{"80 daemons", eighty, 16, 200, 2500},
	} {
		data, core, busiest := MeasureIdleTraffic(1, one.shape)
		for kind, idle := range map[string]IdleTraffic{"daemon": data, "core": core, "busiest core": busiest} {
			t.Logf("%s, %s: %.1f sent, %.1f received, %.0f B a second;%s", one.name, kind, idle.Sent, idle.Received,
				idle.Bytes, kinds(idle))
		}
		if data.Sent+data.Received > one.data || core.Sent+core.Received > one.core || data.Bytes > one.bytes {
			t.Errorf("%s: a daemon has %.1f messages and %.0f B a second, a core %.1f messages; at most %v, %v and %v",
				one.name, data.Sent+data.Received, data.Bytes, core.Sent+core.Received, one.data, one.bytes, one.core)
		}
	}
}

func kinds(idle IdleTraffic) string {
	lines := make([]string, 0, len(idle.Kinds))
	for kind, count := range idle.Kinds {
		lines = append(lines, fmt.Sprintf(" %s %.2f", kind, count))
	}
	sort.Strings(lines)
	return strings.Join(lines, ",")
}
