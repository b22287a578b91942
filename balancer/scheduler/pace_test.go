package scheduler

import (
	"testing"
	"time"
)

// How long a response may take follows the pace of responses, and is not known before one was seen.
func TestLongestFollowsTheGenerationPace(t *testing.T) {
	const most, token = 1000, 10 * time.Millisecond
	fixture := newFixture(t, 1)
	request := fixture.request("l", 1, 1, time.Second, "a")
	request.Requirements.AnswerTokens = most
	fixture.TokensReceived(0, time.Second)
	fixture.TokensReceived(5, 0)
	if longest := fixture.MaxDuration(request); longest != 0 {
		t.Errorf("%v before a response was seen", longest)
	}
	near := func(what string, want time.Duration) {
		t.Helper()
		if longest := fixture.MaxDuration(request); longest < want*9/10 || longest > want*11/10 {
			t.Errorf("%s: %v instead of %v", what, longest, want)
		}
	}
	fixture.TokensReceived(64, 64*token)
	near("after the first stretch", request.Requirements.LatencyTarget+most*token)
	// One stretch changes little; engines that have become slower are noticed within a few.
	fixture.TokensReceived(64, 2*64*token)
	near("after an odd stretch", request.Requirements.LatencyTarget+most*token)
	for range 40 {
		fixture.TokensReceived(64, 3*64*token)
	}
	near("on slow engines", request.Requirements.LatencyTarget+3*most*token)
}
