package registry

import (
	"testing"
	"time"

	"wardtray/wire"
)

// A runner that another core heard is given more time than one that calls this core.
func TestSilenceTimeout(t *testing.T) {
	liveness := newLiveness(started, time.Second)
	for _, test := range []struct {
		direct bool
		want   time.Duration
	}{{true, 3500 * time.Millisecond}, {false, 4500 * time.Millisecond}} {
		if got := liveness.silenceTimeout(&lastCall{direct: test.direct}); got != test.want {
			t.Errorf("direct %v: %v, want %v", test.direct, got, test.want)
		}
	}
}

func TestLaterCallContradictsSilence(t *testing.T) {
	liveness := newLiveness(started, time.Second)
	liveness.heard(started, "r1", 5, true)
	for _, test := range []struct {
		name  string
		after time.Duration
		call  uint64
		want  bool
	}{
		{"silent since an earlier call", time.Second, 4, true},
		{"silent since the same call", time.Second, 5, false},
		{"not heard for long", time.Minute, 4, false},
	} {
		record := &wire.Runner{RunnerId: "r1", State: Silent, Call: test.call}
		if got := liveness.contradicts(started.Add(test.after), record); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	if liveness.contradicts(started, &wire.Runner{RunnerId: "r2", State: Silent}) {
		t.Error("a runner that never called contradicts its silence")
	}
}

// Each call is announced once, and not more often than twice in a heartbeat.
func TestCallsAreAnnouncedOnce(t *testing.T) {
	liveness := newLiveness(started, time.Second)
	liveness.heard(started, "r2", 1, true)
	liveness.heard(started, "r1", 3, true)
	now := started.Add(time.Second)
	if calls := liveness.unannounced(now); len(calls) != 2 || calls[0].RunnerId != "r1" || calls[0].Call != 3 {
		t.Fatal(calls)
	}
	liveness.heard(now, "r1", 4, true)
	if calls := liveness.unannounced(now.Add(499 * time.Millisecond)); len(calls) != 0 {
		t.Fatal("announced again too soon", calls)
	}
	if calls := liveness.unannounced(now.Add(500 * time.Millisecond)); len(calls) != 1 || calls[0].Call != 4 {
		t.Fatal(calls)
	}
}

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
