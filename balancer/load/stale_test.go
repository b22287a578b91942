package load

import (
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/features"
	"wardtray/wire"
)

// A runner that is no longer listed is asked on while it has work of ours; else its loss would never be learned of.
func TestUnlistedRunnerWithWorkIsAskedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	book := NewTable(now, "d")
	book.List(now, []*wire.Runner{{RunnerId: "busy", State: "ready"}, {RunnerId: "idle", State: "ready"}})
	book.Begin("busy")
	if gone := book.List(now, nil); len(gone) != 1 || gone[0] != "idle" {
		t.Fatal(gone)
	}
	later := now.Add(time.Minute)
	if stale := book.Stale(later, time.Second, true); len(stale) != 1 || stale[0].ID != "busy" {
		t.Fatal(stale)
	}
	if !book.Missed(later, "busy", apierror.Unreachable) {
		t.Fatal("it is not taken for lost")
	}
	book.Finish("busy", true)
	if stale := book.Stale(later, time.Second, true); len(stale) != 0 {
		t.Fatal(stale)
	}
}

// A refused question says that the runner is there. Where a service's runners refuse, they are not asked again for a
// while, and those of another service are; one answer undoes that.
func TestServicesWithoutReportsAreLeftAlone(t *testing.T) {
	book := NewTable(started, "d1")
	book.List(started, []*wire.Runner{{RunnerId: "a1", Zone: "a", State: "ready", Service: "a"}, {RunnerId: "a2", Zone: "a", State: "ready", Service: "a"},
		{RunnerId: "b1", Zone: "a", State: "ready", Service: "b"}})
	asked := func(now time.Time) (names string) {
		for _, runner := range book.Stale(now, time.Second, true) {
			names += runner.ID + " "
		}
		return names
	}
	for range missesBound + 1 {
		book.ReportRefused(started, "a1")
	}
	if found, _ := book.One(started, "a1", nil); !found.Usable {
		t.Errorf("a runner that refuses a question is left alone: %+v", found)
	}
	if names := asked(started.Add(2 * time.Second)); names != "b1 " {
		t.Errorf("asked: %s", names)
	}
	if names := asked(started.Add(askAgain + time.Second)); names != "a1 a2 b1 " {
		t.Errorf("asked after a while: %s", names)
	}
	book.ReportGiven(started, "a2", Report{Slots: 4})
	if names := asked(started.Add(3 * time.Second)); names != "a1 a2 b1 " {
		t.Errorf("asked after an answer: %s", names)
	}
}

// A switched-off mechanism leaves failed runners and new ones to be used as any other.
func TestEjectionAndWarmUpSwitchedOff(t *testing.T) {
	for name, without := range map[string]features.Set{"on": nil, "off": {features.Ejection: true, features.WarmUp: true}} {
		book := bookOf("old")
		book.Without = without
		later := started.Add(time.Hour)
		book.List(later, []*wire.Runner{{RunnerId: "old", State: "ready"}, {RunnerId: "new", State: "ready"}})
		book.Failed(later, "old", "x")
		old, _ := book.One(later, "old", nil)
		fresh, _ := book.One(later, "new", nil)
		if old.Usable != (name == "off") || fresh.Warming != (name == "on") {
			t.Errorf("%s: %+v %+v", name, old, fresh)
		}
	}
}

// Where a service's answers tell the load, or this daemon has no work for it, its runners are not asked.
func TestOnlyWhatNoAnswerTellsIsAsked(t *testing.T) {
	book := NewTable(started, "d1")
	book.List(started, []*wire.Runner{{RunnerId: "a", State: "ready", Service: "a"}, {RunnerId: "b", State: "ready", Service: "b"}, {RunnerId: "c", State: "ready", Service: "c"}})
	asked := func(reportsAlone bool) (names string) {
		for _, runner := range book.Stale(started.Add(time.Minute), time.Second, reportsAlone) {
			names += runner.ID
		}
		return names
	}
	if names := asked(false); names != "" {
		t.Errorf("without any work asked: %s", names)
	}
	book.Begin("a")
	book.Begin("b")
	if names := asked(false); names != "ab" {
		t.Errorf("before an answer asked: %s", names)
	}
	book.AnswerTold(started, "a", Report{Slots: 4})
	if names := asked(false); names != "b" {
		t.Errorf("once an answer told the load asked: %s", names)
	}
	if names := asked(true); names != "abc" {
		t.Errorf("where reports alone tell a load asked: %s", names)
	}
}
