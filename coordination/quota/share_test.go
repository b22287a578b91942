package quota

import (
	"testing"
	"time"
)

// A share must refill at its own rate only while the allocator is silent, only up to its capacity, and only until it
// expires.
func TestShareFillsWhileTheAllocatorIsSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name  string
		after time.Duration
		want  float64
	}{
		{"before the allocator counts as silent", silenceTimeout, 10},
		{"a second of silence", silenceTimeout + time.Second, 30},
		{"until it is full", silenceTimeout + 4*time.Second, 50},
		{"after it has expired", testTerm + time.Millisecond, 0},
	} {
		share := newTenantShare(now)
		share.apply(now, Share{Tokens: 10, Capacity: 50, Rate: 20}, TenantReport{}, now.Add(testTerm))
		share.advance(now.Add(test.after))
		if share.balance != test.want {
			t.Errorf("%s: balance %v, want %v", test.name, share.balance, test.want)
		}
	}
}

func TestRefusedRequestsGetARetryTime(t *testing.T) {
	for _, test := range []struct {
		name string
		rate float64
		cost float64
		want time.Duration
	}{
		{"without a rate", 0, 100, defaultRetryAfter},
		{"once the tokens have filled", 100, 100, time.Second},
		{"not too soon", 100_000, 100, minimumRetryAfter},
		{"not too late", 1, 100, maximumRetryAfter},
	} {
		share := newTenantShare(time.Unix(1000, 0))
		share.rate = test.rate
		if got := share.refuse(test.cost); got != test.want || share.usage.Refused != test.cost {
			t.Errorf("%s: retry after %v, want %v; refused cost %v", test.name, got, test.want, share.usage.Refused)
		}
	}
}

// A refund must not raise a balance above the capacity, and must not lower a balance that is above it already.
func TestRefundStaysWithinTheCapacity(t *testing.T) {
	for _, test := range []struct{ balance, capacity, refund, want float64 }{
		{10, 50, 20, 30}, {40, 50, 20, 50}, {60, 50, 20, 60},
	} {
		share := &tenantShare{balance: test.balance, capacity: test.capacity}
		if share.refund(test.refund); share.balance != test.want {
			t.Errorf("%+v: balance %v after the refund", test, share.balance)
		}
	}
}

func TestAverageDecaysOverItsSpan(t *testing.T) {
	now := time.Unix(1000, 0)
	average := average{updatedAt: now, span: 2 * time.Second}
	average.add(now, 10)
	if average.value != 5 {
		t.Fatalf("10 over 2 s is %v per second, want 5", average.value)
	}
	average.decay(now.Add(2 * time.Second))
	if average.value < 1.8 || average.value > 1.9 {
		t.Errorf("after its span %v of 5 is left, want 1/e of it", average.value)
	}
}
