package scheduler

import (
	"testing"
	"time"
)

// The urgency lets others go ahead of a prompt that can't be in time, and one that is read quickly go ahead of others.
func TestShortPromptsGoAheadOfLongOnes(t *testing.T) {
	fixture := newFixture(t, 3)
	late := fixture.request("l", 1, 1, 100*time.Millisecond)
	soon := fixture.request("l", 1, 1, 100*time.Millisecond)
	late.Requirements.PromptTokens, soon.Requirements.PromptTokens = 100_000, 100
	if decision, _ := fixture.schedule(late); decision.Urgency != BehindUrgency {
		t.Fatalf("a late one: %+v", decision)
	}
	if decision, _ := fixture.schedule(soon); decision.Urgency != AheadUrgency {
		t.Fatalf("one in time: %+v", decision)
	}
}
