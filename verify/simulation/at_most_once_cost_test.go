package simulation

import (
	"testing"
	"time"
)

// Compares the costs of the designs of at-most-once requests. A first attempt waits for at most one round trip within
// its zone, and none of its messages crosses zones.
func TestCostOfAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, shape := range map[string]Shape{"guild": GuildPath, "ferries": FerriesPath} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			costs := map[AtMostOnceDesign]AtMostOnceCost{}
			for _, design := range []AtMostOnceDesign{Announced, ReservedInOneZone, ReservedInAllZones} {
				cost := MeasureAtMostOnce(1, shape, design)
				costs[design] = cost
				t.Logf("%s: %d requests, first event %v and %v (99th), %.1f messages and %.0f B a request, %.0f B between zones",
					design, cost.Requests, cost.Median.Round(10*time.Microsecond), cost.P99.Round(10*time.Microsecond),
					cost.Messages, cost.Bytes, cost.ZoneBytes)
			}
			one := costs[ReservedInOneZone]
			if one.ZoneBytes != 0 || one.Messages > 2*3 || one.Requests < 100 {
				t.Errorf("cost of a reservation in one zone: %+v", one)
			}
			if added := one.Median - costs[Announced].Median; added > longestRoundTrip {
				t.Errorf("a reservation in one zone delays the first event by %v", added)
			}
		})
	}
}

// longestRoundTrip is the longest time of two messages between machines of the simulated network.
const longestRoundTrip = 2 * (defaultDelay + defaultJitter)
