package scheduler

import (
	"testing"
	"time"
)

// A prompt whose prefill alone exceeds its latency target gets a low urgency, and one with a short prefill a high one.
// Without this, a late prompt would delay others at the runner that can still be in time.
func TestShortPromptsGoAheadOfLongOnes(t *testing.T) {
	fixture := newFixture(t, 3)
	late := fixture.request("l", 1, 1, 100*time.Millisecond)
	short := fixture.request("l", 1, 1, 100*time.Millisecond)
	late.Requirements.PromptTokens, short.Requirements.PromptTokens = 100_000, 100
	if decision, _ := fixture.schedule(late); decision.Urgency != LowUrgency {
		t.Fatalf("a prompt that can't be in time: %+v", decision)
	}
	if decision, _ := fixture.schedule(short); decision.Urgency != HighUrgency {
		t.Fatalf("a short prompt: %+v", decision)
	}
}
