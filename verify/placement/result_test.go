package placement

import (
	"testing"
	"time"
)

func TestRefusalsAreEarlyOrLate(t *testing.T) {
	result := Result{}
	for _, after := range []time.Duration{0, earlyRefusal, earlyRefusal + 1, time.Second} {
		result.refused(after)
	}
	if result.Early != 2 || result.Late != 2 {
		t.Errorf("%d early and %d late instead of 2 and 2", result.Early, result.Late)
	}
}

func TestCacheShare(t *testing.T) {
	if got := (&Result{}).CacheShare(); got != 0 {
		t.Errorf("%v of nothing", got)
	}
	if got := (&Result{Cached: 30, Prompted: 40}).CacheShare(); got != 0.75 {
		t.Errorf("%v instead of 0.75", got)
	}
}
