package scheduler

import (
	"testing"
	"time"
)

// The reservation changes in quarters, and only when the need differs by more than the hysteresis. Otherwise cached
// prefixes would move with every change of the traffic.
func TestLongPromptPolicyReservesSlowly(t *testing.T) {
	policy := newLongPromptPolicy()
	for _, step := range []struct {
		quarters float64
		want     int
	}{{1, 1}, {1.6, 1}, {1.7, 2}, {1.4, 2}, {1.3, 1}, {0.3, 0}, {0.6, 0}, {4, maxQuarters}} {
		if reserved := policy.reserve(step.quarters / 4 / reserveFactor); reserved != step.want {
			t.Errorf("%v quarters needed: %d reserved, want %d", step.quarters, reserved, step.want)
		}
	}
}

// A prompt is long if its prefill takes longer than the lowest latency target of all routes.
func TestLongPromptsOutlastTheLeastLatencyTarget(t *testing.T) {
	policy := newLongPromptPolicy()
	if policy.isLong(3600, "none", 0) {
		t.Error("a prompt is long although no route has a latency target")
	}
	policy.recordTarget("slow", 10*time.Second)
	policy.recordTarget("fast", 2*time.Second)
	policy.recordTarget("none", 0)
	if policy.isLong(2, "none", 0) || !policy.isLong(2.1, "none", 0) {
		t.Error("the bound is not the lowest recorded latency target")
	}
	if policy.isLong(1, "own", time.Second) || !policy.isLong(1.1, "own", time.Second) {
		t.Error("the bound is not the prompt's own latency target")
	}
	if policy.isLong(3, "fast", 4*time.Second) || !policy.isLong(4.1, "fast", 4*time.Second) {
		t.Error("the bound is the recorded target of the prompt's route instead of the prompt's own")
	}
}

// Runners are reserved in proportion to the fleet, and none in a fleet smaller than minFleet.
func TestLongRunnersAreAPartOfTheFleet(t *testing.T) {
	for _, step := range []struct{ runners, quarters, want int }{
		{3, 2, 0}, {4, 1, 1}, {20, 1, 5}, {20, 2, 10}, {20, 0, 0},
	} {
		if long := longRunners(fleetOf(step.runners), step.quarters); len(long) != step.want {
			t.Errorf("%d quarters of %d runners: %d reserved, want %d", step.quarters, step.runners, len(long), step.want)
		}
	}
}
