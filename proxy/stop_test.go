package proxy

import (
	"testing"
	"time"
)

// A stopping daemon accepts requests that will certainly end before it stops, and refuses all others with the statement
// that they did not run. Otherwise it would cut off their responses when it stops.
func TestStoppingDaemonRefusesWhatMightOutlastIt(t *testing.T) {
	const answer = 10 // The maximum answer of every test request, in tokens.
	for name, trial := range map[string]struct {
		draining bool
		// token is the time per token of answers, 0 if it is not known; left is the time until the daemon stops.
		token, left time.Duration
		status      int
	}{
		"it does not stop":              {false, time.Second, time.Millisecond, 200},
		"time enough":                   {true, 10 * time.Millisecond, 2*time.Second + answer*20*time.Millisecond, 200},
		"too long":                      {true, 100 * time.Millisecond, 2*time.Second + answer*20*time.Millisecond, 503},
		"no pace is known":              {true, 0, 2 * time.Second, 200},
		"the first event may be late":   {true, time.Millisecond, time.Second, 503},
		"nothing is known of its end":   {true, time.Second, 0, 200},
		"the daemon should be gone now": {true, time.Millisecond, -time.Second, 503},
	} {
		runner := startRunner(t, "r1", events(3, done(3), true))
		daemon := newDaemon(t, runner)
		daemon.Scheduler("p").TokensReceived(answer, answer*trial.token)
		daemon.Draining.Store(trial.draining)
		if by := time.Now().Add(trial.left); trial.draining && trial.left != 0 {
			daemon.StopBy.Store(&by)
		}
		// The route's latency target is 2 s, within which the first event may come.
		status, body := daemon.post(t, "once")
		if status != trial.status || (runner.reached.Load() > 0) != (status == 200) {
			t.Errorf("%s: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
	}
}

// The event rate is learned from the events of responses that are being relayed.
func TestPaceIsLearnedFromEvents(t *testing.T) {
	daemon := newDaemon(t, startRunner(t, "r1", events(3*pacedEvents, done(3*pacedEvents), true)))
	daemon.post(t, "once")
	by := time.Now()
	daemon.StopBy.Store(&by)
	if status, body := daemon.post(t, "once"); status != 503 {
		t.Errorf("%d %s", status, body)
	}
}
