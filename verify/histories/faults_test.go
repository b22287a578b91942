package histories

import (
	"testing"
	"time"
)

func TestFaultsExcuseWhatTheyTouched(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	history := &History{Faults: []Fault{
		{At: at(10), Until: at(20), Daemon: "d"},
		{At: at(10), Until: at(20), Runner: "r", What: "first"},
		{At: at(15), Until: at(25), Runner: "r", What: "second"},
	}}
	excusePeriod := int(faultExcusePeriod / time.Second)
	for _, test := range []struct {
		name            string
		from, until     int
		faulty, excused bool
	}{
		{"before", 1, 9, false, false},
		{"up to its beginning", 1, 10, true, true},
		{"within", 12, 13, true, true},
		{"from its end on", 20, 30, false, true},
		{"within the excuse period", 20 + excusePeriod - 1, 60, false, true},
		{"after the excuse period", 20 + excusePeriod, 60, false, false},
	} {
		from, until := at(test.from), at(test.until)
		if got := history.daemonFaulty("d", from, until); got != test.faulty {
			t.Errorf("%s: faulty %v instead of %v", test.name, got, test.faulty)
		}
		if got := history.excusedByFault("d", from, until); got != test.excused {
			t.Errorf("%s: excused %v instead of %v", test.name, got, test.excused)
		}
		if history.daemonFaulty("other", from, until) || history.excusedByFault("other", from, until) {
			t.Errorf("%s: another daemon is excused", test.name)
		}
	}
	if fault, found := history.runnerFault("r", at(16), at(17)); !found || fault.What != "first" {
		t.Errorf("fault %+v (%v) instead of the first", fault, found)
	}
	if fault, found := history.runnerFault("other", at(16), at(17)); found {
		t.Errorf("fault %+v of another runner", fault)
	}
}

func TestIsolationLastsUntilItsEnd(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	history := &History{Isolations: []*Isolation{{Daemon: "d", From: at(10), Until: at(20)}}}
	for seconds, want := range map[int]time.Duration{10: 0, 12: 2 * time.Second, 20: 10 * time.Second, 21: 0} {
		if got := history.isolatedFor("d", at(seconds)); got != want {
			t.Errorf("after %d s: %v instead of %v", seconds, got, want)
		}
	}
	if got := history.isolatedFor("other", at(12)); got != 0 {
		t.Errorf("another daemon: %v", got)
	}
}
