package registry

import (
	"testing"
	"time"

	"wardtray/wire"
)

// A runner whose calls reach another control node gets a longer timeout than a runner that calls this control node,
// since announcements add a delay.
func TestSilenceTimeout(t *testing.T) {
	liveness := newLiveness(startTime, time.Second)
	for _, test := range []struct {
		direct bool
		want   time.Duration
	}{{true, 3500 * time.Millisecond}, {false, 4500 * time.Millisecond}} {
		if got := liveness.silenceTimeout(&lastCall{direct: test.direct}); got != test.want {
			t.Errorf("direct %v: %v, want %v", test.direct, got, test.want)
		}
	}
}

// A record that marks a runner silent must not prevail over a later call that this control node received recently.
func TestLaterCallContradictsSilence(t *testing.T) {
	liveness := newLiveness(startTime, time.Second)
	liveness.recordCall(startTime, "r1", 5, true)
	for _, test := range []struct {
		name  string
		after time.Duration
		call  uint64
		want  bool
	}{
		{"silent since an earlier call", time.Second, 4, true},
		{"silent since the same call", time.Second, 5, false},
		{"later call, but not a recent one", time.Minute, 4, false},
	} {
		record := &wire.Runner{RunnerId: "r1", State: Silent, Call: test.call}
		if got := liveness.contradicts(startTime.Add(test.after), record); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	if liveness.contradicts(startTime, &wire.Runner{RunnerId: "r2", State: Silent}) {
		t.Error("a record that marks a runner silent is contradicted without any call of the runner")
	}
}

// Each call is announced once, and announcements are sent at most twice per heartbeat.
func TestCallsAreAnnouncedOnce(t *testing.T) {
	liveness := newLiveness(startTime, time.Second)
	liveness.recordCall(startTime, "r2", 1, true)
	liveness.recordCall(startTime, "r1", 3, true)
	now := startTime.Add(time.Second)
	if calls := liveness.takeUnannounced(now); len(calls) != 2 || calls[0].RunnerId != "r1" || calls[0].Call != 3 {
		t.Fatal(calls)
	}
	liveness.recordCall(now, "r1", 4, true)
	if calls := liveness.takeUnannounced(now.Add(499 * time.Millisecond)); len(calls) != 0 {
		t.Fatal("announced again too soon", calls)
	}
	if calls := liveness.takeUnannounced(now.Add(500 * time.Millisecond)); len(calls) != 1 || calls[0].Call != 4 {
		t.Fatal(calls)
	}
}

// If most runners seem silent at once, a network fault is more likely than their failure, and marking them silent would
// stop all service. They must get more time.
func TestMostRunnersAreGivenMoreTime(t *testing.T) {
	few, most := []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	for _, test := range []struct {
		name    string
		serving int
		silent  []string
		want    int
	}{{"few of few", 4, few, 3}, {"half of many", 8, most, 4}, {"most", 7, most, 1}} {
		survey := &survey{serving: test.serving, silent: test.silent, longSilent: []string{"a"}}
		if got := survey.unresponsive(); len(got) != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
