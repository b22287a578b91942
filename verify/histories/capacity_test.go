package histories

import (
	"testing"
	"time"
)

// checkerWithSamples returns a checker of a history with one capacity sample per second from 30 s on. In zone a the
// given number of its ten slots is free; in zone b, which is closed from 20 s on, all thirty.
func checkerWithSamples(free ...int) (checker *Checker, at func(seconds float64) time.Time) {
	history := clean()
	at = func(seconds float64) time.Time {
		return history.Started.Add(time.Duration(seconds * float64(time.Second)))
	}
	history.CapacitySamples = nil
	for second, count := range free {
		history.CapacitySamples = append(history.CapacitySamples, CapacitySample{
			At:    at(30 + float64(second)),
			Free:  map[string]int{"a": count, "b": 30},
			Slots: map[string]int{"a": 10, "b": 30},
		})
	}
	checker = NewChecker(history, history.Final.Known)
	checker.refresh()
	return checker, at
}

func TestLeastFreeShareLooksAtOpenZones(t *testing.T) {
	checker, at := checkerWithSamples(5, 8, 2, 9, 1)
	for _, test := range []struct {
		name        string
		from, until float64
		want        float64
	}{
		{"uses the sample before", 30.5, 30.6, 0.5},
		{"uses the sample after", 31.2, 31.5, 0.2},
		{"several samples", 30.5, 32.5, 0.2},
		{"after the last sample", 40, 41, 0.1},
	} {
		if got := checker.leastFreeShare("d1", at(test.from), at(test.until)); got != test.want {
			t.Errorf("%s: %v instead of %v", test.name, got, test.want)
		}
	}
}

func TestNothingIsFreeWhereNobodyLooked(t *testing.T) {
	checker, at := checkerWithSamples()
	if got := checker.leastFreeShare("d1", at(30), at(31)); got != 0 {
		t.Errorf("%v instead of 0", got)
	}
}

func TestNothingIsFreeWhereTheSpecAllowsNoRunner(t *testing.T) {
	checker, at := checkerWithSamples(10, 10)
	checker.history.Weights = "other"
	if got := checker.leastFreeShare("d1", at(30), at(31)); got != 0 {
		t.Errorf("%v instead of 0", got)
	}
}

// A daemon that has lost its path to the control machines acts under the spec that it had then, in which a zone may be
// closed that has been opened since. The free share must count only zones that are open for that daemon.
func TestFreeShareIsThatOfTheSpecsOfTheDaemon(t *testing.T) {
	checker, at := checkerWithSamples(10, 10, 10, 10)
	history := checker.history
	history.Orders = append(history.Orders, &OperatorRequest{Operation: "opening", Verb: "open", Zone: "b", Sent: at(25),
		Got: at(25.1), Outcome: "accepted", Epoch: 3})
	history.Isolations = []*Isolation{{Daemon: "isolated", From: at(24), Until: at(40)}}
	history.CapacitySamples[1].Free["a"] = 0
	checker = NewChecker(history, map[string]uint64{"first": 1, "closing": 2, "opening": 3})
	checker.refresh()
	for daemon, want := range map[string]float64{"d1": 0.75, "isolated": 0} {
		if got := checker.leastFreeShare(daemon, at(30.5), at(31.5)); got != want {
			t.Errorf("%s: %v instead of %v", daemon, got, want)
		}
	}
}
