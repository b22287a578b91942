package scheduler

import (
	"testing"
	"time"
)

// The maximum duration of a response follows the measured generation pace, and is unknown before the first sample.
func TestLongestFollowsTheGenerationPace(t *testing.T) {
	const maxTokens, token = 1000, 10 * time.Millisecond
	fixture := newFixture(t, 1)
	request := fixture.request("l", 1, 1, time.Second, "a")
	request.Requirements.MaxResponseTokens = maxTokens
	fixture.TokensReceived(0, time.Second)
	fixture.TokensReceived(5, 0)
	if duration := fixture.MaxDuration(request); duration != 0 {
		t.Errorf("maximum duration %v before the first sample, want 0", duration)
	}
	checkNear := func(name string, want time.Duration) {
		t.Helper()
		if duration := fixture.MaxDuration(request); duration < want*9/10 || duration > want*11/10 {
			t.Errorf("%s: maximum duration %v, want about %v", name, duration, want)
		}
	}
	fixture.TokensReceived(64, 64*token)
	checkNear("after the first sample", request.Requirements.LatencyTarget+maxTokens*token)
	// One sample changes the average little; many samples of slower engines change it to their pace.
	fixture.TokensReceived(64, 2*64*token)
	checkNear("after an outlier", request.Requirements.LatencyTarget+maxTokens*token)
	for range 40 {
		fixture.TokensReceived(64, 3*64*token)
	}
	checkNear("on slow engines", request.Requirements.LatencyTarget+3*maxTokens*token)
}
