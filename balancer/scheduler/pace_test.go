package scheduler

import (
	"testing"
	"time"
)

// How long an answer may take follows the pace of answers, and nothing is told of what nobody has seen.
func TestLongestFollowsThePace(t *testing.T) {
	const most, token = 1000, 10 * time.Millisecond
	stall := newStall(t, 1)
	queuedRequest := stall.queuedRequest("l", 1, 1, time.Second, "a")
	queuedRequest.Requirements.AnswerTokens = most
	stall.Paced(0, time.Second)
	stall.Paced(5, 0)
	if longest := stall.Longest(queuedRequest); longest != 0 {
		t.Errorf("%v is told of what nobody has seen", longest)
	}
	near := func(what string, want time.Duration) {
		t.Helper()
		if longest := stall.Longest(queuedRequest); longest < want*9/10 || longest > want*11/10 {
			t.Errorf("%s: %v instead of %v", what, longest, want)
		}
	}
	stall.Paced(64, 64*token)
	near("after the first stretch", queuedRequest.Requirements.LatencyTarget+most*token)
	// One stretch spoils little; engines that have slowed down are noticed within a few.
	stall.Paced(64, 2*64*token)
	near("after an odd stretch", queuedRequest.Requirements.LatencyTarget+most*token)
	for range 40 {
		stall.Paced(64, 3*64*token)
	}
	near("on slow engines", queuedRequest.Requirements.LatencyTarget+3*most*token)
}
