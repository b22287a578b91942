package registry

import (
	"testing"
	"time"
)

// A call must not be accepted before enough daemons have acknowledged the runner's departure, nor wait without bound.
func TestOutcomeOfABroadcast(t *testing.T) {
	for _, test := range []struct {
		name               string
		daemons, confirmed int
		elapsed            time.Duration
		outcome            Outcome
		decided            bool
	}{
		{"no daemon at all", 0, 0, 0, Accepted, true},
		{"every daemon", 4, 4, 0, Accepted, true},
		{"all but one, soon", 4, 3, confirmTimeout - 1, "", false},
		{"all but one, later", 4, 3, confirmTimeout, Accepted, true},
		{"just half", 4, 2, confirmTimeout, Accepted, true},
		{"less than half, later", 4, 1, halfTimeout - 1, Unreachable, false},
		{"less than half, too late", 4, 1, halfTimeout, Unreachable, true},
	} {
		broadcast := &broadcast{daemons: test.daemons, confirmed: test.confirmed, unconfirmed: map[string]bool{}}
		for number := range test.daemons - test.confirmed {
			broadcast.unconfirmed[string(rune('a'+number))] = true
		}
		outcome, decided := broadcast.outcome(test.elapsed)
		if outcome != test.outcome || decided != test.decided {
			t.Errorf("%s: %q, decided %v", test.name, outcome, decided)
		}
	}
}
