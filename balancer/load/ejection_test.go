package load

import (
	"testing"
	"time"
	"wardtray/features"
	"wardtray/wire"
)

// With ejection and slow start switched off, failed and new runners are used like any other.
func TestEjectionAndSlowStartSwitchedOff(t *testing.T) {
	switchedOff := features.Set{features.Ejection: true, features.WarmUp: true}
	for name, disabled := range map[string]features.Set{"on": nil, "off": switchedOff} {
		table := tableOf("old")
		table.Disabled = disabled
		later := started.Add(time.Hour)
		table.UpdateListing(later, []*wire.Runner{{RunnerId: "old", State: "ready"}, {RunnerId: "new", State: "ready"}})
		table.Eject(later, "old", "x")
		old, _ := table.Lookup(later, "old", nil)
		fresh, _ := table.Lookup(later, "new", nil)
		if old.Usable != (name == "off") || fresh.SlowStart != (name == "on") {
			t.Errorf("%s: %+v %+v", name, old, fresh)
		}
	}
}

// Each failure doubles the duration of the ejection up to its bound, and a success resets it.
func TestEjectionDoublesUntilASuccess(t *testing.T) {
	var ejection ejection
	for _, want := range []time.Duration{1, 2, 4, 8, 16} {
		ejection.failed(started, "x")
		if ejection.until != started.Add(want*minEjection) {
			t.Fatalf("ejected for %v, not %v", ejection.until.Sub(started), want*minEjection)
		}
	}
	ejection.failed(started, "x")
	if until := started.Add(maxEjection); !ejection.active(until.Add(-1)) || ejection.active(until) {
		t.Fatalf("ejected for %v", ejection.until.Sub(started))
	}
	ejection.succeeded()
	if ejection.active(started) {
		t.Fatal("ejected after a success")
	}
	ejection.failed(started, "x")
	if ejection.duration != minEjection {
		t.Fatalf("ejected for %v after a success", ejection.duration)
	}
}
