package proxy

import (
	"testing"
	"time"

	"wardtray/balancer/retrybudget"
	"wardtray/config"
)

func TestTriesRemain(t *testing.T) {
	for name, trial := range map[string]struct {
		tries tries
		bound int
		want  bool
	}{
		"none yet":                     {tries{}, 0, true},
		"one before the last":          {tries{attempts: maximumAttempts - 1, sends: maximumAttempts - 1}, 0, true},
		"all attempts":                 {tries{attempts: maximumAttempts}, 0, false},
		"the route's bound of sends":   {tries{attempts: 2, sends: 2}, 2, false},
		"attempts that were not sent":  {tries{attempts: 5, sends: 1}, 2, true},
		"all attempts, a larger bound": {tries{attempts: maximumAttempts}, 2 * maximumAttempts, false},
	} {
		if got := trial.tries.remain(&config.Route{Attempts: trial.bound}); got != trial.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// The first send needs no budget and its request counts once; a retry without budget leaves no attempt.
func TestTriesSpend(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := retrybudget.DefaultSettings
	settings.Ratio, settings.Slack = 0.5, 0
	locked := &lockedBudget{budget: retrybudget.New(settings, func() int { return 1 })}
	one := &tries{}
	for range 2 {
		if got := one.spend(now, locked); got != sendFirst || !one.counted {
			t.Fatalf("not sent yet: %v, counted %v", got, one.counted)
		}
	}
	one.sends++
	if got := one.spend(now, locked); got != sendDenied || one.remain(&config.Route{}) {
		t.Errorf("one request allows no retry: %v, %+v", got, one)
	}
	for range 40 {
		(&tries{}).spend(now, locked)
	}
	other := &tries{attempts: 1, sends: 1, counted: true}
	if got := other.spend(now, locked); got != sendRetry || !other.remain(&config.Route{}) {
		t.Errorf("40 requests allow a retry: %v, %+v", got, other)
	}
}
