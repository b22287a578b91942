package placement

import (
	"testing"
	"time"
)

func TestRefusalsAreEarlyOrLate(t *testing.T) {
	result := SlotResult{}
	for _, after := range []time.Duration{0, maximumEarlyRefusal, maximumEarlyRefusal + 1, time.Second} {
		result.refused(after)
	}
	if result.RefusedEarly != 2 || result.RefusedLate != 2 {
		t.Errorf("%d early and %d late refusals, want 2 and 2", result.RefusedEarly, result.RefusedLate)
	}
}

func TestCacheShare(t *testing.T) {
	if got := (&SlotResult{}).CacheShare(); got != 0 {
		t.Errorf("cache share %v without prompt tokens, want 0", got)
	}
	if got := (&SlotResult{CachedTokens: 30, PromptTokens: 40}).CacheShare(); got != 0.75 {
		t.Errorf("cache share %v, want 0.75", got)
	}
}
