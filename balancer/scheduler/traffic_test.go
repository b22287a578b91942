package scheduler

import (
	"math"
	"testing"
	"time"

	"wardtray/balancer/kvblock"
)

// The ratios of long prompts and of a prefix start at their priors and follow the traffic, and rare prefixes are
// deleted.
func TestTrafficStatisticsFollowTheTraffic(t *testing.T) {
	traffic := newTrafficStatistics()
	if ratio := traffic.longRatio(); ratio != longPriorRatio {
		t.Fatalf("ratio %v of long prompts before any traffic, want %v", ratio, longPriorRatio)
	}
	const requests = 4000
	now := started
	for number := range requests {
		now = now.Add(100 * time.Millisecond)
		sample := trafficSample{prefix: kvblock.BlockKey(number % 2), work: 0.1, tokens: 100}
		if number%10 == 0 {
			sample = trafficSample{prefix: kvblock.BlockKey(1000 + number), work: 0.9, tokens: 900, long: true}
		}
		traffic.count(now, sample)
	}
	if ratio := traffic.longRatio(); ratio < 0.3 || ratio > 0.5 {
		t.Errorf("ratio %v of long prompts, which take half of the prefill time", ratio)
	}
	if one, other := traffic.prefixRatio(1), traffic.prefixRatio(1000); one < 0.2 || one > 0.4 || other != 0 {
		t.Errorf("ratio %v of a popular prefix, %v of a prefix seen once", one, other)
	}
	if rate := traffic.rateAt(now); math.Abs(rate-10) > 0.5 {
		t.Errorf("%v requests per second, want 10", rate)
	}
	if len(traffic.prefixes) > 200 {
		t.Errorf("%d prefixes are retained", len(traffic.prefixes))
	}
	if utilization := traffic.utilization(now, &traffic.short, 1000, 1); utilization != maxUtilization {
		t.Errorf("utilization %v of an overloaded runner, want %v", utilization, maxUtilization)
	}
}
